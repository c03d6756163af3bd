#pragma once

#include <cstdint>
#include <memory>
#include <random>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "client_pool.h"
#include "key_picker.h"
#include "load_settings.h"
#include "request_record.h"

namespace figreach::load {

/// One thread of the load generator. Sends its share of the requests open-loop: arrival times do
/// not depend on the responses.
class load_worker {
public:
    /// `settings` must outlive the worker.
    load_worker(const load_settings& settings, std::uint32_t number);

    /// Returns after every request has finished.
    void run();
    [[nodiscard]] const std::vector<request_record>& records() const;

private:
    struct planned_request {
        request_record record;
        monotonic_time intended{};
        std::size_t host = 0;
        unsigned attempt = 1;
    };

    boost::asio::awaitable<void> generate_arrivals(std::uint32_t stream);
    boost::asio::awaitable<void> poll_readiness(std::size_t host);
    boost::asio::awaitable<bool> check_readiness(const std::string& address);
    boost::asio::awaitable<void> send(planned_request planned);
    boost::asio::awaitable<void> repeat(planned_request planned);
    boost::asio::awaitable<bool> exchange(planned_request& planned,
                                          upstream_connection& connection);
    [[nodiscard]] planned_request plan(std::uint32_t stream, monotonic_time intended);
    [[nodiscard]] std::size_t pick_host();
    [[nodiscard]] double random_fraction();

    const load_settings& settings;
    std::uint32_t number;
    boost::asio::io_context io{1};
    std::mt19937_64 random;
    key_picker picker;
    std::vector<std::unique_ptr<client_pool>> pools;
    std::vector<request_record> finished_requests;
    std::vector<bool> is_ready; ///< by host; last result of its /ready probe
    std::size_t open_streams = 0;
    std::uint64_t requests_planned = 0;
    monotonic_time started_at{};
};

} // namespace figreach::load
