#pragma once

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "figreach/direct/process_continuity.h"
#include "figreach/direct/runtime/http_client.h"

namespace figreach::direct {

/// Sends grants to backend servers. A leader whose lease has expired does not know the present
/// owners, and a server that has started since does not know the fences that its predecessor had
/// accepted. Grants of such a leader therefore go only to processes that ran while it had its
/// lease. Not thread-safe.
class order_client {
public:
    /// Returns the latest time at which the sender is known to have had its lease, including time
    /// spent suspended.
    using lease_end = std::function<monotonic_time()>;

    /// `processes` must outlive this object.
    order_client(boost::asio::io_context& io, process_continuity& processes);

    /// As http_client::call() on a pooled connection. Keeps a second connection open while the
    /// lease has expired, so that a server that closes one of them can still be reached.
    boost::asio::awaitable<http_result> call(std::string address, http_request request,
                                             monotonic_time deadline, lease_end lease_until);

private:
    /// Null if no connection is known to lead to a process that ran by `lease_until`.
    std::unique_ptr<upstream_connection> take_proven(const std::string& address,
                                                     const lease_end& lease_until);
    boost::asio::awaitable<void> open_spare(std::string address, monotonic_time deadline);

    process_continuity& processes;
    connection_pool pool;
};

} // namespace figreach::direct
