#include "figreach/direct/crash_record_schedule.h"

namespace figreach::direct {

crash_record_schedule::crash_record_schedule(crash_record_settings settings_) : settings{settings_}
{
}

crash_record_schedule::content
crash_record_schedule::content_of(const std::vector<crash_report>& reports)
{
    content out;
    for (const auto& report : reports) {
        for (const auto& one : report.losses) {
            out[report.digest].insert(one.server);
        }
    }
    return out;
}

void crash_record_schedule::start_term()
{
    this->begun_at.reset();
}

void crash_record_schedule::on_stored(const std::vector<crash_report>& reports)
{
    this->stored = content_of(reports);
}

bool crash_record_schedule::try_begin(const std::vector<crash_report>& wanted, monotonic_time now)
{
    const auto next = content_of(wanted);
    const bool changed = this->stored != next;
    if (this->writing || (!changed && next.empty())) {
        return false;
    }
    const auto interval = changed ? this->settings.min_interval : this->settings.refresh_interval;
    if (this->begun_at && now < *this->begun_at + interval) {
        return false;
    }
    this->begun_at = now;
    this->writing = true;
    return true;
}

void crash_record_schedule::on_written(const std::vector<crash_report>& reports)
{
    this->writing = false;
    this->on_stored(reports);
}

void crash_record_schedule::on_not_written()
{
    this->writing = false;
    this->stored.reset();
}

} // namespace figreach::direct
