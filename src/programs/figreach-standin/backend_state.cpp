#include "backend_state.h"

#include <algorithm>
#include <exception>
#include <utility>

#include <boost/json.hpp>

#include "figreach/key_hash.h"

namespace figreach::standin {

namespace json = boost::json;

namespace {

/// New work may still arrive for this long after the server began to leave.
constexpr milliseconds leaving_allowance{3000};
constexpr std::size_t remembered_answers = 32;

void read(const json::object& in, const char* key, bool& out)
{
    if (const auto* found = in.if_contains(key)) {
        out = found->as_bool();
    }
}

void read(const json::object& in, const char* key, double& out)
{
    if (const auto* found = in.if_contains(key)) {
        out = found->to_number<double>();
    }
}

void read(const json::object& in, const char* key, milliseconds& out)
{
    if (const auto* found = in.if_contains(key)) {
        out = milliseconds{found->to_number<std::int64_t>()};
    }
}

json::object to_object(const execution& one)
{
    return {{"request", one.request_id},
            {"idempotency_key", one.idempotency_key},
            {"key", one.key},
            {"method", one.method},
            {"fence", one.fence},
            {"start_ns", one.started_at.time_since_epoch().count()},
            {"end_ns", one.ended_at.time_since_epoch().count()}};
}

} // namespace

backend_state::backend_state(backend_settings settings_) : settings{std::move(settings_)} {}

grant_answer backend_state::take_grant(const grant& asked, monotonic_time now)
{
    const bool later = asked.term == this->present.term && asked.sequence > this->present.sequence;
    const bool accepted = asked.term > this->present.term || later;
    if (accepted) {
        this->accept(asked, now);
    }
    return {.accepted = accepted,
            .sequence = asked.sequence,
            .term = this->present.term,
            .incarnation = this->present_incarnation,
            .in_flight = this->reported_load(now),
            .cold = this->is_cold(now),
            .leaving = this->faults.leaving};
}

void backend_state::accept(const grant& asked, monotonic_time now)
{
    if (asked.term > this->present.term) {
        this->answered_at.clear();
    }
    const auto named = this->answered_at.find(asked.after);
    const bool first = asked.after == 0;
    if (named != this->answered_at.end()) {
        this->granted_until = named->second + asked.duration;
    }
    else {
        this->granted_until = first ? now + asked.duration : monotonic_time{};
    }
    this->present = asked;
    ++this->grants_taken;
    this->answered_at[asked.sequence] = now;
    if (this->answered_at.size() > remembered_answers) {
        this->answered_at.erase(this->answered_at.begin());
    }
}

std::optional<error_kind> backend_state::start(const offered_request& request, monotonic_time now)
{
    this->note_arrival(now);
    if (this->settings.checks_fences && !this->is_granted(request, now)) {
        ++this->refused;
        return error_kind::stale_route;
    }
    const bool full = this->in_flight >= this->settings.slots;
    if (full || this->sheds_next()) {
        ++this->refused;
        return error_kind::overloaded;
    }
    if (this->in_flight >= this->capacity(now)) {
        ++this->cold_violations;
        this->lose_state(now);
    }
    ++this->in_flight;
    this->records.push_back({.request_id = request.request_id,
                             .idempotency_key = request.idempotency_key,
                             .key = request.key,
                             .method = request.method,
                             .fence = request.fence,
                             .started_at = now,
                             .ended_at = {}});
    if (this->records.size() > this->settings.most_executions) {
        this->records.pop_front();
        ++this->first_number;
    }
    return std::nullopt;
}

std::uint64_t backend_state::last_started() const
{
    return this->first_number + this->records.size() - 1;
}

void backend_state::finish(std::uint64_t number, monotonic_time now, bool cancelled)
{
    --this->in_flight;
    this->cancelled_count += cancelled ? 1 : 0;
    if (number >= this->first_number && !cancelled) {
        this->records[number - this->first_number].ended_at = now;
    }
}

bool backend_state::set_faults(const json::object& order, monotonic_time now)
{
    auto next = this->faults;
    bool cold = false;
    bool new_incarnation = false;
    auto checks_fences = this->settings.checks_fences;
    auto service_time = this->settings.service_time;
    try {
        read(order, "cold", cold);
        read(order, "cold_ramp_ms", next.cold_ramp);
        read(order, "shedding", next.shedding);
        read(order, "slow_factor", next.slow_factor);
        read(order, "load_lag_ms", next.load_lag);
        read(order, "leaving", next.leaving);
        read(order, "frozen", next.frozen);
        read(order, "new_incarnation", new_incarnation);
        read(order, "checks_fences", checks_fences);
        read(order, "service_time_ms", service_time);
    }
    catch (const std::exception&) {
        return false;
    }
    if (next.leaving && !this->faults.leaving) {
        this->leaving_since = now;
    }
    this->faults = next;
    this->settings.checks_fences = checks_fences;
    this->settings.service_time = service_time;
    if (cold) {
        this->cold_since = now;
    }
    if (new_incarnation) {
        this->lose_state(now);
    }
    return true;
}

bool backend_state::frozen() const
{
    return this->faults.frozen;
}

std::uint64_t backend_state::incarnation() const
{
    return this->present_incarnation;
}

milliseconds backend_state::service_time() const
{
    const auto slowed = this->settings.service_time * this->faults.slow_factor;
    return std::chrono::duration_cast<milliseconds>(slowed);
}

const std::string& backend_state::name() const
{
    return this->settings.name;
}

json::object backend_state::counts() const
{
    return {{"server", this->settings.name},
            {"executions", this->first_number + this->records.size()},
            {"in_flight", this->in_flight},
            {"most_concurrent", this->most_concurrent},
            {"over_slots", this->over_slots},
            {"cold_violations", this->cold_violations},
            {"late_arrivals", this->late_arrivals},
            {"refused", this->refused},
            {"cancelled", this->cancelled_count},
            {"grants", this->grants_taken},
            {"incarnation", this->present_incarnation}};
}

json::object backend_state::executions() const
{
    json::array list;
    for (const auto& one : this->records) {
        list.push_back(to_object(one));
    }
    return {{"server", this->settings.name},
            {"dropped", this->first_number},
            {"executions", std::move(list)}};
}

bool backend_state::is_granted(const offered_request& request, monotonic_time now) const
{
    if (now >= this->granted_until) {
        return false;
    }
    const auto hash = hash_key(request.key);
    const auto holds = [hash, &request](const granted_slice& one) {
        return one.first <= hash && hash <= one.last && one.fence == request.fence;
    };
    return std::ranges::any_of(this->present.slices, holds);
}

std::uint32_t backend_state::capacity(monotonic_time now) const
{
    if (!this->is_cold(now)) {
        return this->settings.slots;
    }
    const auto warmed = (now - this->cold_since) / milliseconds{1};
    const auto slots = warmed * this->settings.slots / this->faults.cold_ramp.count();
    return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(slots));
}

bool backend_state::is_cold(monotonic_time now) const
{
    return now < this->cold_since + this->faults.cold_ramp;
}

bool backend_state::sheds_next()
{
    this->shed_debt += this->faults.shedding;
    if (this->shed_debt < 1.0) {
        return false;
    }
    this->shed_debt -= 1.0;
    return true;
}

std::uint32_t backend_state::reported_load(monotonic_time now)
{
    if (now >= this->load_reported_at + this->faults.load_lag) {
        this->last_reported_load = this->in_flight;
        this->load_reported_at = now;
    }
    return this->last_reported_load;
}

void backend_state::lose_state(monotonic_time now)
{
    ++this->present_incarnation;
    this->cold_since = now;
    this->present = {};
    this->granted_until = {};
    this->answered_at.clear();
}

void backend_state::note_arrival(monotonic_time now)
{
    const auto concurrent = this->in_flight + 1;
    this->most_concurrent = std::max(this->most_concurrent, concurrent);
    this->over_slots += concurrent > this->settings.slots ? 1 : 0;
    const bool late = this->faults.leaving && now >= this->leaving_since + leaving_allowance;
    this->late_arrivals += late ? 1 : 0;
}

} // namespace figreach::standin
