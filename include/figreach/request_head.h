#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "figreach/description.h"
#include "figreach/error_kind.h"
#include "figreach/time.h"

namespace figreach {

/// Header fields exchanged with callers and backend servers; see docs/backend-contract.md.
namespace field {
inline constexpr auto service = "X-Figreach-Service";
inline constexpr auto key = "X-Figreach-Key";
inline constexpr auto tenant = "X-Figreach-Tenant";
inline constexpr auto request_class = "X-Figreach-Class";
inline constexpr auto deadline = "X-Figreach-Deadline-Ms";
inline constexpr auto attempt = "X-Figreach-Attempt";
inline constexpr auto hops = "X-Figreach-Hops";
inline constexpr auto spread = "X-Figreach-Spread"; ///< between entry hosts only
inline constexpr auto request_id = "X-Figreach-Request-Id";
inline constexpr auto fence = "X-Figreach-Fence";
inline constexpr auto hash = "X-Figreach-Hash";
inline constexpr auto outcome = "X-Figreach-Outcome";
inline constexpr auto error = "X-Figreach-Error";
inline constexpr auto server = "X-Figreach-Server";
inline constexpr auto incarnation = "X-Figreach-Incarnation";
inline constexpr auto idempotency_key = "Idempotency-Key";
} // namespace field

/// The unparsed fields of a request that determine its routing.
struct request_head {
    std::string method;
    std::string service;
    std::string key;
    std::string tenant;
    std::string request_class;
    std::string deadline_ms;
    std::string idempotency_key;
    std::string attempt;
    std::string request_id;
    std::uint32_t hops = 0; ///< number of entry hosts that forwarded the request
};

/// A request that is valid under a description.
struct checked_request {
    const service* target = nullptr; ///< valid as long as the description
    const tenant* billed_tenant = nullptr;
    std::string key;
    class_id request_class;
    std::uint32_t shed_order = 0;
    bool idempotent = false;
    std::string idempotency_key; ///< empty: none
    bool first_attempt = false;  ///< the caller states that it has not sent this request before
    milliseconds allowed{0};     ///< time limit of the whole request, from its arrival
    std::uint32_t hops = 0;
};

/// Validates a request against the description in force.
[[nodiscard]] std::variant<checked_request, error_kind> check_request(const request_head& head,
                                                                      const description& all);

} // namespace figreach
