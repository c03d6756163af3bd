#include "figreach/direct/server_rate_limits.h"

#include <algorithm>
#include <utility>

namespace figreach::direct {

server_rate_limits::server_rate_limits(rate_limit_settings settings_) : settings{settings_} {}

bool server_rate_limits::on_answer(const backend_server_id& id, std::optional<double> rate,
                                   monotonic_time now)
{
    return this->update(id, rate, now, true);
}

bool server_rate_limits::merge(const rate_limit_report& report, monotonic_time now)
{
    return this->update(report.server, report.rate, now - report.age, false);
}

bool server_rate_limits::update(const backend_server_id& id, std::optional<double> rate,
                                monotonic_time stated_at, bool own)
{
    auto found = this->limits.find(id);
    if (found == this->limits.end()) {
        if (!rate) {
            return false;
        }
        found = this->limits.emplace(id, limit{}).first;
    }
    auto& known = found->second;
    if (stated_at < known.stated_at) {
        return false;
    }
    const bool changed = known.rate != rate;
    if (changed) {
        const bool is_first = !known.rate;
        known.rate = rate;
        known.tokens =
            is_first
                ? std::max(1.0, this->effective_rate(known) * this->settings.first_burst.count())
                : this->tokens_of(known, stated_at);
        known.counted_at = stated_at;
    }
    // An ended limit is not renewed by each later answer, so that it can be forgotten.
    if (changed || rate) {
        known.stated_at = stated_at;
        known.unshared = own;
    }
    return changed;
}

std::optional<double> server_rate_limits::rate_of(const backend_server_id& id) const
{
    const auto found = this->limits.find(id);
    return found != this->limits.end() ? found->second.rate : std::nullopt;
}

double server_rate_limits::effective_rate(const limit& known) const
{
    return std::max(known.rate.value_or(0.0), this->settings.min_rate);
}

double server_rate_limits::tokens_of(const limit& known, monotonic_time now) const
{
    const auto rate = this->effective_rate(known);
    const std::chrono::duration<double> elapsed =
        std::max(now - known.counted_at, monotonic_time::duration{0});
    const auto capacity = std::max(1.0, rate * this->settings.burst.count());
    return std::min(capacity, known.tokens + rate * elapsed.count());
}

milliseconds server_rate_limits::delay(const backend_server_id& id, monotonic_time now) const
{
    const auto found = this->limits.find(id);
    if (found == this->limits.end() || !found->second.rate) {
        return milliseconds{0};
    }
    const auto missing = 1.0 - this->tokens_of(found->second, now);
    const std::chrono::duration<double> wait{missing / this->effective_rate(found->second)};
    return missing > 0.0 ? std::chrono::ceil<milliseconds>(wait) : milliseconds{0};
}

void server_rate_limits::on_sent(const backend_server_id& id, monotonic_time now)
{
    const auto found = this->limits.find(id);
    if (found != this->limits.end() && found->second.rate) {
        found->second.tokens = this->tokens_of(found->second, now) - 1.0;
        found->second.counted_at = now;
    }
}

milliseconds server_rate_limits::next_return(const backend_server_id& id, monotonic_time now)
{
    auto& known = this->limits.at(id);
    const std::chrono::duration<double> gap{1.0 / this->effective_rate(known)};
    const auto earliest = now + std::max(this->delay(id, now), this->held_off_for(id, now));
    auto at = std::max(earliest, known.next_return);
    if (at > now + this->settings.max_return_delay) {
        at = std::min(earliest, now + this->settings.max_return_delay);
    }
    known.next_return = at + std::chrono::duration_cast<monotonic_time::duration>(gap);
    return std::chrono::ceil<milliseconds>(at - now);
}

void server_rate_limits::hold_off(const backend_server_id& id, milliseconds time,
                                  monotonic_time now)
{
    const auto found = this->limits.find(id);
    if (found != this->limits.end()) {
        // A request is due to be sent after this time, by any host.
        const std::chrono::duration<double, std::milli> gap{std::milli::den /
                                                            this->effective_rate(found->second)};
        const auto longest = std::chrono::ceil<milliseconds>(gap);
        found->second.held_off_until =
            now + std::min({time, longest, this->settings.max_return_delay});
    }
}

milliseconds server_rate_limits::held_off_for(const backend_server_id& id, monotonic_time now) const
{
    const auto found = this->limits.find(id);
    if (found == this->limits.end() || !found->second.rate) {
        return milliseconds{0};
    }
    return std::chrono::ceil<milliseconds>(
        std::max(found->second.held_off_until - now, monotonic_time::duration{0}));
}

std::size_t server_rate_limits::count() const
{
    return static_cast<std::size_t>(
        std::count_if(this->limits.begin(), this->limits.end(),
                      [](const auto& item) { return item.second.rate.has_value(); }));
}

rate_limit_report server_rate_limits::report_of(const backend_server_id& id, const limit& known,
                                                monotonic_time now)
{
    const auto age = std::chrono::floor<milliseconds>(now - known.stated_at);
    return {.server = id, .rate = known.rate, .age = age};
}

std::vector<rate_limit_report> server_rate_limits::reports(monotonic_time now) const
{
    std::vector<rate_limit_report> out;
    for (const auto& [id, known] : this->limits) {
        out.push_back(report_of(id, known, now));
    }
    return out;
}

std::vector<rate_limit_report> server_rate_limits::take_own_reports(monotonic_time now)
{
    std::vector<rate_limit_report> out;
    for (auto& [id, known] : this->limits) {
        if (std::exchange(known.unshared, false)) {
            out.push_back(report_of(id, known, now));
        }
    }
    return out;
}

} // namespace figreach::direct
