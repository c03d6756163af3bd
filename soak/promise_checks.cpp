#include "promise_checks.h"

#include <algorithm>
#include <iterator>

namespace figreach::soak {

namespace {

/// Two servers that both hold a key for longer than this break a promise, even without requests.
constexpr milliseconds max_overlap{500};
constexpr unsigned ok = 200;
/// A request that crashed this many servers may arrive only so many times more.
constexpr std::uint32_t tolerated_crashes = 3;
constexpr std::uint32_t max_late_arrivals = 3;
constexpr std::uint32_t max_arrivals_in_rest = 2;
/// Statuses that guarantee that the request has not run and will not run.
constexpr unsigned not_run_statuses[] = {408, 421, 429, 503};

bool says_not_run(unsigned status)
{
    return std::find(std::begin(not_run_statuses), std::end(not_run_statuses), status) !=
           std::end(not_run_statuses);
}

} // namespace

const char* name_of(promise which)
{
    switch (which) {
    case promise::ran_once:
        return "ran_once";
    case promise::servers_limited:
        return "servers_limited";
    case promise::refusal_true:
        return "refusal_true";
    case promise::answer_own:
        return "answer_own";
    case promise::request_known:
        return "request_known";
    case promise::one_owner:
        return "one_owner";
    case promise::one_holder:
        return "one_holder";
    case promise::newest_version:
        return "newest_version";
    case promise::leaving_kept:
        return "leaving_kept";
    case promise::rest_kept:
        return "rest_kept";
    case promise::crashes_bounded:
        return "crashes_bounded";
    case promise::recovered:
        return "recovered";
    case promise::stayed_up:
        return "stayed_up";
    }
    return "unknown";
}

void promise_checks::record(promise which, std::string detail)
{
    this->found.push_back({.which = which, .detail = std::move(detail)});
}

void promise_checks::sent(const sent_request& request)
{
    this->known[request.id].sent = request;
}

void promise_checks::executed(const std::string& id, std::uint64_t body_bytes)
{
    const auto request = this->known.find(id);
    if (request == this->known.end()) {
        this->record(promise::request_known, id + " was not sent");
        return;
    }
    auto& entry = request->second;
    ++entry.runs;
    if (body_bytes != entry.sent.body_bytes) {
        this->record(promise::request_known, id + " ran with another body");
    }
    if (entry.sent.idempotent) {
        return;
    }
    if (entry.runs > 1) {
        this->record(promise::ran_once, id);
    }
    if (entry.refused) {
        this->record(promise::refusal_true, id + " ran after the refusal");
    }
}

void promise_checks::started_at(const std::string& id, const std::string& server)
{
    const auto request = this->known.find(id);
    if (request == this->known.end()) {
        return;
    }
    auto& entry = request->second;
    const bool is_new = entry.servers.insert(server).second;
    if (is_new && entry.servers.size() > entry.sent.max_servers) {
        this->record(promise::servers_limited,
                     id + " ran on " + std::to_string(entry.servers.size()) + " servers");
    }
}

void promise_checks::finished(const request_result& result)
{
    ++this->counts[result.status];
    auto& request = this->known[result.id];
    if (result.status == ok && result.body != "answer to " + result.id) {
        this->record(promise::answer_own, result.id + " got '" + result.body + "'");
    }
    if (says_not_run(result.status)) {
        request.refused = true;
        if (!request.sent.idempotent && request.runs > 0) {
            this->record(promise::refusal_true, result.id + " ran before the refusal");
        }
    }
}

crash_counts* promise_checks::counts_for(const std::string& id)
{
    const auto request = this->known.find(id);
    const bool has_identity =
        request != this->known.end() && !request->second.sent.identity.empty();
    return has_identity ? &this->crashing[request->second.sent.identity] : nullptr;
}

void promise_checks::arrived(const std::string& id, bool in_touch, monotonic_time now)
{
    auto* own = this->counts_for(id);
    if (own == nullptr || own->crashes < tolerated_crashes ||
        now <= own->third_crash + stable_window) {
        return;
    }
    ++own->late_arrivals;
    if (in_touch && ++own->late_in_touch == max_late_arrivals + 1) {
        this->record(promise::crashes_bounded,
                     id + " arrived after " + std::to_string(own->crashes) + " crashes");
    }
}

void promise_checks::passed_on_leaving(const std::string& host, const std::string& server,
                                       monotonic_time now)
{
    auto& word = this->words[{host, server}];
    word.left_at = word.left_at.value_or(now);
}

void promise_checks::reached(const std::string& id, const std::string& server, milliseconds rest,
                             monotonic_time now)
{
    const auto request = this->known.find(id);
    if (request == this->known.end() || request->second.sent.host.empty()) {
        return;
    }
    const auto& sent = request->second.sent;
    auto& word = this->words[{sent.host, server}];
    if (word.left_at && sent.sent_at > *word.left_at + leaving_limit) {
        this->record(promise::leaving_kept, id + " at " + server + " from " + sent.host);
    }
    if (now > word.rest_from && now < word.rest_until &&
        ++word.during_rest == max_arrivals_in_rest + 1) {
        this->record(promise::rest_kept, id + " at " + server + " from " + sent.host);
    }
    if (rest > milliseconds{0} && now >= word.rest_until) {
        word.rest_from = now + rest_slack;
        word.rest_until = now + rest;
        word.during_rest = 0;
    }
}

void promise_checks::host_paused(const std::string& name)
{
    std::erase_if(this->words,
                  [&](const auto& one) { return one.first.first.starts_with(name + " "); });
}

void promise_checks::crashed(const std::string& id, monotonic_time now)
{
    auto* own = this->counts_for(id);
    if (own != nullptr && ++own->crashes == tolerated_crashes) {
        own->third_crash = now;
    }
}

void promise_checks::started_on_key(const key_holding& own, const std::vector<key_holding>& others,
                                    monotonic_time now)
{
    for (const auto& other : others) {
        const auto last = this->last_started.find({other.server, other.key});
        const auto overlap = std::max(own.since, other.since);
        if (last != this->last_started.end() && last->second >= overlap) {
            this->record(promise::one_owner, "key " + std::to_string(own.key) + " at " +
                                                 own.server + " and " + other.server);
        }
    }
    this->last_started[{own.server, own.key}] = now;
}

void promise_checks::check_holders(std::uint32_t key, const std::vector<key_holding>& holders,
                                   monotonic_time now)
{
    const auto since = [&](const key_holding& one) { return now - one.since; };
    const auto long_holders = std::count_if(
        holders.begin(), holders.end(), [&](const auto& one) { return since(one) > max_overlap; });
    if (long_holders < 2) {
        return;
    }
    const auto detail =
        "key " + std::to_string(key) + " at " + holders[0].server + " and " + holders[1].server;
    if (this->reported_overlaps.insert(detail).second) {
        this->record(promise::one_holder, detail);
    }
}

void promise_checks::served_version(const std::string& host, std::uint64_t start_number,
                                    std::uint64_t version, bool found_route)
{
    auto& highest = this->versions[{host, start_number}];
    if (found_route) {
        highest = std::max(highest, version);
    }
    else if (version <= highest) {
        this->record(promise::newest_version, host + " knew version " + std::to_string(highest) +
                                                  " and lacks " + std::to_string(version));
    }
}

void promise_checks::answers_after_faults(std::uint64_t count)
{
    if (count == 0) {
        this->record(promise::recovered, "no answer after the faults");
    }
}

void promise_checks::unexpected_exit(const std::string& host, const std::string& how)
{
    if (!how.empty()) {
        this->record(promise::stayed_up, host + ": " + how);
    }
}

const std::vector<broken_promise>& promise_checks::broken() const
{
    return this->found;
}

std::uint64_t promise_checks::requests() const
{
    return this->known.size();
}

const std::map<std::string, crash_counts>& promise_checks::crashing_requests() const
{
    return this->crashing;
}

const std::map<unsigned, std::uint64_t>& promise_checks::results_by_status() const
{
    return this->counts;
}

} // namespace figreach::soak
