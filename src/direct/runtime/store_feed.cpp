#include "figreach/direct/runtime/store_feed.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "figreach/direct/key_table_delta.h"
#include "figreach/direct/stored_records.h"
#include "figreach/retry_budget.h"
#include "figreach/runtime/log.h"
#include "items.h"

namespace figreach::direct {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

/// Short enough that a connection that has gone silent is noticed before a change is due.
constexpr milliseconds watch_wait{1500};
constexpr milliseconds watch_reserve{700};
/// Hosts that follow rely on the leader's watch: with a silent connection they hear nothing for the
/// sum of both, and a leaving server must get nothing 2 s after its report.
constexpr milliseconds leader_watch_wait{600};
constexpr milliseconds leader_watch_reserve{400};
constexpr milliseconds read_timeout{1000};
/// For which the other parts wait for the one that finds out whether the store is back.
constexpr milliseconds part_wait{1000};
/// For which an answer to a following host waits for a change; loads are told as often.
constexpr milliseconds follow_wait{200};
constexpr milliseconds longest_follow_wait{800};
/// In a large fleet followers ask less often, so that the leader has time for its orders.
constexpr milliseconds follow_wait_for_each_host{12};
/// Beyond the wait, for an answer on its way.
constexpr milliseconds follow_reserve{250};
constexpr milliseconds follow_pause{20};
constexpr milliseconds follow_retry{100};
constexpr milliseconds probe_timeout{400};
/// Between two probes of one host, so that a fleet that lost its leader does not crowd the store.
constexpr milliseconds probe_interval{600};
/// An answer of the leading host is relied on until the next one is overdue by this time.
constexpr milliseconds follow_overlap{100};
/// Keys of which loads are told in one call.
constexpr std::size_t most_loads = 4096;

constexpr auto all_parts = {store_part::operators, store_part::servers, store_part::own};

} // namespace

store_feed::store_feed(host_context& state_) : state{state_}, peers{state_.io}
{
    for (const auto part : all_parts) {
        this->parts[part];
    }
    this->parts[store_part::operators].log = change_log{kept_changes::newest_of_each_key};
}

void store_feed::start()
{
    for (const auto part : all_parts) {
        asio::co_spawn(this->state.io, this->watch(part), asio::detached);
    }
    asio::co_spawn(this->state.io, this->follow(), asio::detached);
}

void store_feed::note_load(const service_id& service, std::uint32_t key)
{
    if (this->loads.size() < most_loads) {
        ++this->loads[{service, key}];
    }
}

std::vector<key_load_entry> store_feed::take_loads()
{
    std::vector<key_load_entry> out;
    for (const auto& [what, count] : std::exchange(this->loads, {})) {
        out.push_back({.service = what.first, .key = what.second, .requests = count});
    }
    return out;
}

asio::awaitable<void> store_feed::watch(store_part part)
{
    for (;;) {
        const auto position = this->parts[part].position;
        if (!this->state.store_reachable && part != store_part::own) {
            // The watch of one part is enough to find out that the store is back.
            co_await this->state.changed.wait(monotonic_time::clock::now() + part_wait);
        }
        else if (!position) {
            co_await this->take_snapshot(part);
        }
        else if (monotonic_time::clock::now() < this->followed_until) {
            co_await sleep_for(this->state.io, follow_retry);
        }
        else {
            co_await this->take_changes(part, *position);
        }
    }
}

asio::awaitable<void> store_feed::take_snapshot(store_part part)
{
    const auto asked = monotonic_time::clock::now();
    const auto outcome =
        co_await this->state.store.read_all(platform::prefix_of(part), read_timeout);
    if (const auto* failure = std::get_if<store_failure>(&outcome)) {
        this->state.note_store(store_responded(*failure), asked);
        co_await this->pause_after_failure(part);
        co_return;
    }
    this->parts[part].failures = 0;
    this->state.note_store(true, asked);
    this->apply_whole(part, std::get<store_snapshot>(outcome));
}

asio::awaitable<void> store_feed::take_changes(store_part part, std::int64_t after)
{
    const auto asked = monotonic_time::clock::now();
    const auto usual_wait = this->state.leads ? leader_watch_wait : watch_wait;
    // An answer at once shows that the store is back.
    const auto wait = this->state.store_reachable ? usual_wait : milliseconds{0};
    const auto reserve = this->state.leads ? leader_watch_reserve : watch_reserve;
    auto outcome =
        co_await this->state.store.watch(platform::prefix_of(part), after, wait, wait + reserve);
    if (const auto* failure = std::get_if<store_failure>(&outcome)) {
        if (*failure == store_failure::history_gone) {
            this->state.note_store(true, asked);
            this->parts[part].position.reset();
            co_return;
        }
        this->state.note_store(store_responded(*failure), asked);
        co_await this->pause_after_failure(part);
        co_return;
    }
    this->parts[part].failures = 0;
    this->state.note_store(true, asked);
    auto& changes = std::get<store_changes>(outcome);
    const bool news = !changes.changes.empty();
    this->apply(part, std::move(changes));
    if (news) {
        co_await sleep_for(this->state.io, this->pace().after_changes());
    }
}

watch_backoff store_feed::pace() const
{
    return {.leads = this->state.leads, .hosts = this->state.beliefs.host_count()};
}

asio::awaitable<void> store_feed::pause_after_failure(store_part part)
{
    const auto failures = ++this->parts[part].failures;
    const auto random = next_random(this->state.random_state);
    co_await sleep_for(this->state.io, this->pace().after_failure(failures, random));
}

/// The meaning of a change; nothing when it builds on a version that is not known here.
std::optional<item_update> store_feed::find_in(const store_change& change) const
{
    if (!change.partial) {
        return platform::find_in_item(change);
    }
    const auto delta = decode_key_table_delta(change.item.value);
    const auto* known = delta ? this->state.beliefs.keys(delta->service) : nullptr;
    if (known == nullptr ||
        this->state.beliefs.keys_revision(delta->service) != delta->base_revision) {
        return std::nullopt;
    }
    auto table = apply_delta(*known, *delta);
    if (!table) {
        return std::nullopt;
    }
    return key_table_update{.table = std::move(*table), .revision = change.item.revision};
}

/// The change as it is told to other hosts: of a table only what differs.
store_change store_feed::shortened(const store_change& change, const item_update& found) const
{
    const auto* table = std::get_if<key_table_update>(&found);
    const auto* known = table != nullptr ? this->state.beliefs.keys(table->table.service) : nullptr;
    if (change.partial || known == nullptr) {
        return change;
    }
    const auto base = this->state.beliefs.keys_revision(table->table.service);
    const auto delta = make_delta(*known, base, table->table);
    return {
        .item = {.key = change.item.key, .value = encode(delta), .revision = change.item.revision},
        .removed = false,
        .partial = true};
}

/// Takes changes that are not known yet: those of a slow watch may have come another way. Versions
/// of a table build on one another, so that own items are taken one by one; ends of servers are
/// judged by how many come together. Reading a configuration takes long, so that of several only
/// the last one is read.
void store_feed::apply(store_part part, store_changes changes)
{
    if (part == store_part::operators) {
        changes = newest_of_each_key(std::move(changes));
    }
    auto& own = this->parts[part];
    const auto known = own.position.value_or(0);
    const auto now = monotonic_time::clock::now();
    store_changes told{.changes = {}, .revision = changes.revision};
    std::vector<item_update> batch;
    for (const auto& change : changes.changes) {
        if (change.item.revision <= known) {
            continue;
        }
        auto found = this->find_in(change);
        if (!found) {
            log_event(log_level::info, "table_version_missing", {{"key", change.item.key}});
            own.position.reset();
            return;
        }
        told.changes.push_back(this->shortened(change, *found));
        batch.push_back(std::move(*found));
        if (part == store_part::own) {
            this->tell(this->state.beliefs.apply(part, std::exchange(batch, {}), false, now));
        }
    }
    if (!batch.empty()) {
        this->tell(this->state.beliefs.apply(part, batch, false, now));
    }
    own.log.add(told, now);
    own.position = std::max(known, changes.revision);
}

void store_feed::apply_whole(store_part part, const store_snapshot& snapshot)
{
    std::vector<item_update> findings;
    for (const auto& item : snapshot.items) {
        findings.push_back(platform::find_in_item({.item = item}));
    }
    const auto now = monotonic_time::clock::now();
    this->parts[part].log.restart(snapshot.revision, now);
    this->parts[part].position = snapshot.revision;
    this->tell(this->state.beliefs.apply(part, findings, true, now));
}

void store_feed::tell(const std::vector<state_change>& lines)
{
    for (const auto& line : lines) {
        log_info_event(line.event, line.fields);
    }
    this->state.changed.notify();
}

/// The leader of the newest term, as the store or another host told; empty when nobody else leads.
std::optional<leader_hint> store_feed::believed_leader() const
{
    const auto& beliefs = this->state.beliefs;
    const auto& term = beliefs.term();
    const auto& self = this->state.settings.name;
    if (this->state.leads || this->state.open_grants > 0 || !beliefs.has_leader()) {
        return std::nullopt;
    }
    if (this->hint && this->hint->term >= term.term && this->hint->host != self) {
        return this->hint;
    }
    const auto* host = beliefs.find_host(term.host);
    if (host == nullptr || term.host == self) {
        return std::nullopt;
    }
    return leader_hint{.term = term.term, .host = term.host, .peer_address = host->peer_address};
}

std::optional<leader_hint> store_feed::followed_leader() const
{
    const bool relied_on = monotonic_time::clock::now() < this->followed_until;
    return relied_on ? this->followed : std::nullopt;
}

std::optional<part_positions> store_feed::positions() const
{
    part_positions out;
    for (const auto& [part, own] : this->parts) {
        if (!own.position) {
            return std::nullopt;
        }
        out[part] = *own.position;
    }
    return out;
}

asio::awaitable<void> store_feed::follow()
{
    for (;;) {
        const auto leader = this->believed_leader();
        if (!leader) {
            this->followed_until = {};
            co_await this->state.changed.wait(monotonic_time::clock::now() + follow_retry);
            continue;
        }
        const bool answered = co_await this->ask(*leader);
        if (!answered) {
            this->followed_until = {};
            co_await this->look_around();
        }
        co_await sleep_for(this->state.io, answered ? follow_pause : follow_retry);
    }
}

/// The leader does not answer: asks the store whether it does, and if not, another host who leads.
asio::awaitable<void> store_feed::look_around()
{
    const auto now = monotonic_time::clock::now();
    // While the store does not answer the watch finds out when it does.
    if (this->state.store_reachable && now >= this->next_probe) {
        this->next_probe = now + probe_interval;
        const auto found = co_await this->state.store.read(leader_key, probe_timeout);
        const auto* failure = std::get_if<store_failure>(&found);
        this->state.note_store(failure == nullptr || store_responded(*failure), now);
    }
    const auto hosts = this->state.beliefs.hosts();
    if (this->state.store_reachable || hosts.empty()) {
        co_return;
    }
    const auto& name = hosts[next_random(this->state.random_state) % hosts.size()];
    const auto* host = this->state.beliefs.find_host(name);
    if (name == this->state.settings.name || host == nullptr) {
        co_return;
    }
    const leader_hint other{
        .term = this->state.beliefs.term().term, .host = name, .peer_address = host->peer_address};
    if (co_await this->ask(other)) {
        this->hint = other;
    }
}

void store_feed::take_hint(const leader_hint& told)
{
    if (told.term >= this->state.beliefs.term().term && this->hint != told) {
        log_event(log_level::info, "leader_hint",
                  {{"term", std::to_string(told.term)}, {"leader", told.host.value}});
        this->hint = told;
        this->state.changed.notify();
    }
}

asio::awaitable<bool> store_feed::ask(leader_hint leader)
{
    const auto known = this->positions();
    if (!known) {
        co_return false;
    }
    const follow_request question{
        .host = this->state.settings.name,
        .positions = *known,
        .loads = this->take_loads(),
        .service_times = this->state.views.take_service_times(),
        .server_loads = this->state.views.take_own_reports(monotonic_time::clock::now())};
    auto request = make_request(http::verb::post, "/follow", encode(question));
    const auto timeout = this->wait_of_followers() + follow_reserve;
    const auto result = co_await this->peers.call(leader.peer_address, std::move(request),
                                                  monotonic_time::clock::now() + timeout);
    const auto* answer = std::get_if<http_response>(&result);
    if (answer == nullptr || answer->result() != http::status::ok) {
        if (this->hint == leader) {
            this->hint.reset();
        }
        const auto told = answer != nullptr ? decode_leader_hint(answer->body()) : std::nullopt;
        if (told) {
            this->take_hint(*told);
        }
        co_return false;
    }
    auto decoded = decode_follow_answer(answer->body());
    if (!decoded) {
        log_event(log_level::warn, "peer_answer_unreadable", {{"peer", leader.host.value}});
        co_return false;
    }
    for (auto& part : decoded->parts) {
        this->apply(part.part, std::move(part.changes));
    }
    for (const auto& load : decoded->server_loads) {
        this->state.views.merge(load, monotonic_time::clock::now());
    }
    this->followed = std::move(leader);
    this->followed_until = monotonic_time::clock::now() + timeout + follow_overlap;
    co_return true;
}

std::optional<follow_answer> store_feed::news(const follow_request& request) const
{
    // A watch answers at least this often while the store does.
    const auto confirmed_after =
        monotonic_time::clock::now() - leader_watch_wait - leader_watch_reserve;
    follow_answer out;
    for (const auto& [part, revision] : request.positions) {
        auto changes = this->parts.at(part).log.after(revision, confirmed_after);
        if (!changes) {
            return std::nullopt;
        }
        out.parts.push_back({.part = part, .changes = std::move(*changes)});
    }
    return out;
}

milliseconds store_feed::wait_of_followers() const
{
    const auto hosts = static_cast<std::int64_t>(this->state.beliefs.host_count());
    return std::clamp(follow_wait_for_each_host * hosts, follow_wait, longest_follow_wait);
}

asio::awaitable<std::optional<follow_answer>> store_feed::answer(const follow_request& request)
{
    const auto until = monotonic_time::clock::now() + this->wait_of_followers();
    const auto is_news = [](const part_changes& one) { return !one.changes.changes.empty(); };
    for (;;) {
        auto out = this->news(request);
        const bool changed = out && std::any_of(out->parts.begin(), out->parts.end(), is_news);
        if (!out || changed || monotonic_time::clock::now() >= until) {
            co_return out;
        }
        co_await this->state.changed.wait(until);
    }
}

} // namespace figreach::direct
