#include "backend_state.h"

#include <algorithm>
#include <exception>
#include <utility>

#include <boost/json.hpp>

#include "figreach/key_hash.h"

namespace figreach::standin {

namespace json = boost::json;

namespace {

/// Requests may still arrive for this long after the server started to leave.
constexpr milliseconds leaving_grace{3000};
constexpr std::size_t max_answer_times = 32;

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

grant_answer backend_state::handle_grant(const grant& new_grant, monotonic_time now)
{
    const bool later = new_grant.term == this->current_grant.term &&
                       new_grant.sequence > this->current_grant.sequence;
    const bool accepted = new_grant.term > this->current_grant.term || later;
    if (accepted) {
        this->accept(new_grant, now);
    }
    return {.accepted = accepted,
            .sequence = new_grant.sequence,
            .term = this->current_grant.term,
            .incarnation = this->current_incarnation,
            .in_flight = this->reported_load(now),
            .cold = this->is_cold(now),
            .leaving = this->faults.leaving};
}

void backend_state::accept(const grant& new_grant, monotonic_time now)
{
    if (new_grant.term > this->current_grant.term) {
        this->answer_times.clear();
    }
    const auto named = this->answer_times.find(new_grant.after);
    const bool first = new_grant.after == 0;
    if (named != this->answer_times.end()) {
        this->granted_until = named->second + new_grant.duration;
    }
    else {
        this->granted_until = first ? now + new_grant.duration : monotonic_time{};
    }
    this->current_grant = new_grant;
    ++this->grants_accepted;
    this->answer_times[new_grant.sequence] = now;
    if (this->answer_times.size() > max_answer_times) {
        this->answer_times.erase(this->answer_times.begin());
    }
}

std::optional<error_kind> backend_state::start(const incoming_request& request, monotonic_time now)
{
    this->count_arrival(now);
    if (this->settings.checks_fences && !this->is_granted(request, now)) {
        ++this->refused;
        return error_kind::stale_route;
    }
    const bool full = this->in_flight >= this->settings.slots;
    if (full || this->should_shed()) {
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
    if (this->records.size() > this->settings.max_executions) {
        this->records.pop_front();
        ++this->first_execution;
    }
    return std::nullopt;
}

std::uint64_t backend_state::last_started() const
{
    return this->first_execution + this->records.size() - 1;
}

void backend_state::finish(std::uint64_t number, monotonic_time now, bool cancelled)
{
    --this->in_flight;
    this->cancelled_count += cancelled ? 1 : 0;
    if (number >= this->first_execution && !cancelled) {
        this->records[number - this->first_execution].ended_at = now;
    }
}

bool backend_state::set_faults(const json::object& fields, monotonic_time now)
{
    auto next = this->faults;
    bool cold = false;
    bool new_incarnation = false;
    auto checks_fences = this->settings.checks_fences;
    auto service_time = this->settings.service_time;
    try {
        read(fields, "cold", cold);
        read(fields, "cold_ramp_ms", next.cold_ramp);
        read(fields, "shedding", next.shedding);
        read(fields, "slow_factor", next.slow_factor);
        read(fields, "load_lag_ms", next.load_lag);
        read(fields, "leaving", next.leaving);
        read(fields, "frozen", next.frozen);
        read(fields, "new_incarnation", new_incarnation);
        read(fields, "checks_fences", checks_fences);
        read(fields, "service_time_ms", service_time);
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
    return this->current_incarnation;
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
            {"executions", this->first_execution + this->records.size()},
            {"in_flight", this->in_flight},
            {"most_concurrent", this->most_concurrent},
            {"over_slots", this->over_slots},
            {"cold_violations", this->cold_violations},
            {"late_arrivals", this->late_arrivals},
            {"refused", this->refused},
            {"cancelled", this->cancelled_count},
            {"grants", this->grants_accepted},
            {"incarnation", this->current_incarnation}};
}

json::object backend_state::executions() const
{
    json::array list;
    for (const auto& one : this->records) {
        list.push_back(to_object(one));
    }
    return {{"server", this->settings.name},
            {"dropped", this->first_execution},
            {"executions", std::move(list)}};
}

bool backend_state::is_granted(const incoming_request& request, monotonic_time now) const
{
    if (now >= this->granted_until) {
        return false;
    }
    const auto hash = hash_key(request.key);
    const auto holds = [hash, &request](const granted_slice& one) {
        return one.first <= hash && hash <= one.last && one.fence == request.fence;
    };
    return std::ranges::any_of(this->current_grant.slices, holds);
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

bool backend_state::should_shed()
{
    this->shed_accumulator += this->faults.shedding;
    if (this->shed_accumulator < 1.0) {
        return false;
    }
    this->shed_accumulator -= 1.0;
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
    ++this->current_incarnation;
    this->cold_since = now;
    this->current_grant = {};
    this->granted_until = {};
    this->answer_times.clear();
}

void backend_state::count_arrival(monotonic_time now)
{
    const auto concurrent = this->in_flight + 1;
    this->most_concurrent = std::max(this->most_concurrent, concurrent);
    this->over_slots += concurrent > this->settings.slots ? 1 : 0;
    const bool late = this->faults.leaving && now >= this->leaving_since + leaving_grace;
    this->late_arrivals += late ? 1 : 0;
}

} // namespace figreach::standin
