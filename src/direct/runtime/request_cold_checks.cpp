// Questions to backend servers whether they are cold, asked before a request is sent.

#include <algorithm>

#include "figreach/direct/runtime/request_runner.h"

namespace figreach::direct {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr milliseconds check_timeout{150};
constexpr std::uint64_t max_answer_bytes = 64ULL * 1024;

} // namespace

/// Whether this host is about to send to a server that may have turned cold without this host
/// knowing, and that has not been asked lately.
bool request_runner::may_be_cold(const choice& chosen) const
{
    const auto* to = std::get_if<target>(&chosen);
    if (to == nullptr || !to->peers.empty() || to->cold || this->service->cold_rate <= 0.0) {
        return false;
    }
    const auto now = monotonic_time::clock::now();
    return now < this->deadline && this->feed.may_lack_servers(now) &&
           this->state.cold.next(to->process(), now) != cold_check_step::none;
}

/// Asks the server on its health path whether it is cold, or waits until another request has asked.
/// Returns whether the server counts as cold then.
asio::awaitable<bool> request_runner::check_cold(const target& to)
{
    const auto server = to.process();
    const auto until = std::min(this->deadline, monotonic_time::clock::now() + check_timeout);
    auto& checks = this->state.cold;
    auto now = monotonic_time::clock::now();
    while (checks.next(server, now) == cold_check_step::wait && now < until) {
        co_await this->state.cold_checked.wait(until);
        now = monotonic_time::clock::now();
    }
    if (checks.next(server, now) == cold_check_step::ask) {
        checks.on_asked(server);
        ++this->state.health_checks;
        const bool answered = co_await this->call_health_path(to, until);
        checks.on_finished(server, answered, monotonic_time::clock::now());
        this->state.cold_checked.notify();
    }
    const auto* record = this->state.cluster.servers().find_lifetime(server);
    if (record == nullptr) {
        co_return false;
    }
    co_return is_cold(*record, monotonic_time::clock::now());
}

/// Returns whether the server has answered. The connection is then used for requests.
asio::awaitable<bool> request_runner::call_health_path(const target& to, monotonic_time until)
{
    auto& pool = this->state.server_connections;
    auto connection = co_await pool.try_take(to.address, until);
    if (!connection || monotonic_time::clock::now() >= until) {
        co_return false;
    }
    const auto result = co_await call_on(*connection, to.address,
                                         make_request(http::verb::get, this->service->health_path),
                                         until, true, max_answer_bytes);
    const auto* received = std::get_if<http_response>(&result);
    if (received == nullptr) {
        co_return false;
    }
    const auto head = platform::decode_answer_head(received->result_int(), *received);
    // The address may belong to another server by now, and a late answer to a request names none.
    if (head.answered_by != to.id) {
        reset(*connection);
        co_return false;
    }
    this->state.record_cold(to.process(), head, "health_path");
    if (leaves_reusable(result)) {
        pool.give_back(to.address, std::move(connection));
    }
    co_return true;
}

} // namespace figreach::direct
