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
    // An ended limit is not renewed by each later answer, so that it can be forgotten.
    if (changed || rate) {
        known.stated_at = stated_at;
        known.unshared = own;
    }
    known.rate = rate;
    return changed;
}

std::optional<double> server_rate_limits::rate_of(const backend_server_id& id) const
{
    const auto found = this->limits.find(id);
    return found != this->limits.end() ? found->second.rate : std::nullopt;
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
