#include "figreach/direct/server_path.h"

#include <algorithm>
#include <utility>

namespace figreach::direct {

server_path::server_path(server_path_settings settings_, monotonic_time now)
    : settings{settings_}, reached_at{now}, ticked_at{now}, min_failed{settings_.min_failed_servers}
{
}

void server_path::on_sent()
{
    ++this->pending;
}

void server_path::on_finished()
{
    this->pending -= std::min(this->pending, 1U);
}

bool server_path::on_connected(monotonic_time now)
{
    this->failed.clear();
    return this->on_answer(now);
}

bool server_path::on_answer(monotonic_time now)
{
    this->reached_at = now;
    return std::exchange(this->lost, false);
}

bool server_path::on_failed(const backend_server_id& server, std::size_t server_count,
                            monotonic_time now)
{
    this->failed.insert(server);
    this->min_failed =
        std::min(this->settings.min_failed_servers, std::max<std::size_t>(server_count, 1));
    const bool is_lost =
        this->connects_fail() && now - this->reached_at >= this->settings.max_silence;
    return !std::exchange(this->lost, this->lost || is_lost) && is_lost;
}

void server_path::on_tick(monotonic_time now)
{
    const auto gap = now - this->ticked_at;
    this->ticked_at = now;
    if (gap > this->settings.max_tick_gap && !this->lost) {
        // Answers that arrived meanwhile have not been read yet.
        this->reached_at = std::min(now, this->reached_at + gap);
    }
}

bool server_path::is_lost() const
{
    return this->lost;
}

bool server_path::connects_fail() const
{
    return this->failed.size() >= this->min_failed;
}

monotonic_time server_path::last_reached() const
{
    return this->reached_at;
}

std::size_t server_path::failed_servers() const
{
    return this->failed.size();
}

bool server_path::should_probe(monotonic_time now)
{
    const bool suspect = this->lost || this->pending > 0 || !this->failed.empty();
    const bool due = !this->probed_at || now - *this->probed_at >= this->settings.probe_interval;
    const bool silent = now - this->reached_at >= this->settings.max_silence;
    if (!suspect || !due || !(silent || this->connects_fail())) {
        return false;
    }
    this->probed_at = now;
    return true;
}

} // namespace figreach::direct
