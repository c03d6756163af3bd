#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "figreach/direct/runtime/http_client.h"
#include "figreach/runtime/connection_pool.h"
#include "figreach/time.h"
#include "request_codec.h"

namespace figreach::direct {

/// How one exchange with a backend server ended.
enum class exchange_outcome : std::uint8_t {
    answered,  ///< a whole answer to this request
    not_run,   ///< the server says that it did not run the request
    lost,      ///< no answer that can be passed on; the request may have run
    late,      ///< the deadline passed
    cancelled, ///< the connection was closed by cancel()
};

struct exchange_result {
    exchange_outcome outcome = exchange_outcome::lost;
    http_response answer;       ///< when answered or not_run
    platform::answer_head head; ///< of the answer
    std::string detail;         ///< why it is lost; empty: none
};

using shared_connection = std::shared_ptr<upstream_connection>;

/// Sends a whole request and reads a whole answer. Afterwards the connection is open only if it
/// can carry another request.
boost::asio::awaitable<exchange_result> exchange(shared_connection connection,
                                                 std::shared_ptr<const http_request> request,
                                                 std::string request_id, monotonic_time deadline);

[[nodiscard]] constexpr const char* name_of(exchange_outcome outcome)
{
    switch (outcome) {
    case exchange_outcome::answered:
        return "answered";
    case exchange_outcome::not_run:
        return "not_run";
    case exchange_outcome::lost:
        return "lost";
    case exchange_outcome::late:
        return "late";
    case exchange_outcome::cancelled:
        return "cancelled";
    }
    return "unknown";
}

} // namespace figreach::direct
