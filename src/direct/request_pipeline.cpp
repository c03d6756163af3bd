#include "figreach/direct/request_pipeline.h"

namespace figreach::direct {

request_pipeline::request_pipeline(pipeline_settings settings_) : settings{settings_} {}

request_pipeline::number request_pipeline::add(bool repeatable)
{
    this->entries.push_back({.repeatable = repeatable});
    return this->first_number + this->entries.size() - 1;
}

request_pipeline::number request_pipeline::add_answered()
{
    this->entries.push_back({.repeatable = false, .started = true, .ended = true});
    return this->first_number + this->entries.size() - 1;
}

std::optional<request_pipeline::number> request_pipeline::start_next(bool stopping)
{
    std::size_t running = 0;
    for (std::size_t i = 0; i < this->entries.size(); ++i) {
        auto& one = this->entries[i];
        if (one.started) {
            running += one.ended ? 0 : 1;
            if (!one.repeatable) {
                return std::nullopt;
            }
            continue;
        }
        const bool in_turn = i == 0;
        const bool beside_others =
            one.repeatable && !stopping && running < this->settings.max_running;
        if (!in_turn && !beside_others) {
            return std::nullopt;
        }
        one.started = true;
        return this->first_number + i;
    }
    return std::nullopt;
}

void request_pipeline::on_ended(number one)
{
    this->entries.at(one - this->first_number).ended = true;
}

bool request_pipeline::has_answer() const
{
    return !this->entries.empty() && this->entries.front().ended;
}

request_pipeline::number request_pipeline::first() const
{
    return this->first_number;
}

void request_pipeline::on_answered()
{
    this->entries.pop_front();
    ++this->first_number;
}

bool request_pipeline::has_started_behind_first() const
{
    return this->entries.size() > 1 && this->entries[1].started;
}

bool request_pipeline::is_full() const
{
    return this->entries.size() >= this->settings.max_waiting;
}

bool request_pipeline::is_empty() const
{
    return this->entries.empty();
}

} // namespace figreach::direct
