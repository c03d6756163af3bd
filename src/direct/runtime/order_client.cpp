#include "figreach/direct/runtime/order_client.h"

#include <algorithm>
#include <utility>

#include "figreach/runtime/suspension_clock.h"

namespace figreach::direct {

namespace asio = boost::asio;

namespace {

constexpr std::size_t max_idle_per_server = 4;
/// A grant waits no longer than this for a second connection.
constexpr milliseconds spare_timeout{100};

} // namespace

order_client::order_client(asio::io_context& io, process_continuity& processes_)
    : processes{processes_}, pool{io, max_idle_per_server}
{
}

std::unique_ptr<upstream_connection> order_client::take_proven(const std::string& address,
                                                               const lease_end& lease_until)
{
    return this->pool.take_idle(address, [&](const upstream_connection& one) {
        return this->processes.has_run_since(address, lease_until(), one.connected_at);
    });
}

/// An answer on another connection, to an order sent from now on, proves that the new connection
/// leads to the same process.
asio::awaitable<void> order_client::open_spare(std::string address, monotonic_time deadline)
{
    if (this->pool.has_open_idle(address)) {
        co_return;
    }
    auto spare = co_await this->pool.try_connect(address, deadline);
    if (spare) {
        this->pool.give_back(address, std::move(spare));
    }
}

asio::awaitable<http_result> order_client::call(std::string address, http_request request,
                                                monotonic_time deadline, lease_end lease_until)
{
    auto connection = this->take_proven(address, lease_until);
    if (!connection && time_with_suspension() <= lease_until()) {
        connection = co_await this->pool.try_connect(address, deadline);
        if (!connection) {
            co_return call_failure::not_sent;
        }
        if (connection->connected_at > lease_until()) {
            this->pool.give_back(address, std::exchange(connection, nullptr));
        }
    }
    if (time_with_suspension() > lease_until()) {
        co_await this->open_spare(address,
                                  std::min(deadline, monotonic_time::clock::now() + spare_timeout));
    }
    if (!connection) {
        connection = this->take_proven(address, lease_until);
    }
    if (!connection) {
        co_return call_failure::unproven_process;
    }
    if (monotonic_time::clock::now() >= deadline) {
        this->pool.give_back(address, std::move(connection));
        co_return call_failure::not_sent;
    }
    const auto sent_at = time_with_suspension();
    auto result = co_await call_on(*connection, address, std::move(request), deadline, true,
                                   max_order_answer_bytes);
    if (std::holds_alternative<http_response>(result)) {
        this->processes.record_answer(address, connection->connected_at, sent_at);
    }
    if (leaves_reusable(result)) {
        this->pool.give_back(address, std::move(connection));
    }
    co_return result;
}

} // namespace figreach::direct
