#include "figreach/direct/cold_checks.h"

namespace figreach::direct {

cold_checks::cold_checks(cold_check_settings settings_) : settings{settings_} {}

cold_check_step cold_checks::next(const server_lifetime& server, monotonic_time now) const
{
    const auto found = this->checks.find(server);
    if (found == this->checks.end()) {
        return cold_check_step::ask;
    }
    if (found->second.in_progress) {
        return cold_check_step::wait;
    }
    return now < found->second.due ? cold_check_step::none : cold_check_step::ask;
}

void cold_checks::on_asked(const server_lifetime& server)
{
    this->checks[server].in_progress = true;
}

void cold_checks::on_finished(const server_lifetime& server, bool answered, monotonic_time now)
{
    const auto lasts = answered ? this->settings.warm_lasts : this->settings.failure_lasts;
    this->checks[server] = {.in_progress = false, .due = now + lasts};
}

void cold_checks::prune(const std::function<bool(const backend_server_id&)>& is_known)
{
    std::erase_if(this->checks, [&](const auto& one) {
        return !one.second.in_progress && !is_known(one.first.server);
    });
}

} // namespace figreach::direct
