#pragma once

#include <cstdint>
#include <string>

#include "figreach/time.h"

namespace figreach::load {

/// Result of one request as seen by the client.
enum class request_result : std::uint8_t {
    answered,        ///< complete response to this request
    not_run,         ///< refused, and reported as not executed
    unknown,         ///< any other error response; it may have run
    no_answer,       ///< connection failed or timed out
    foreign_answer,  ///< response to another request
    shortened_answer ///< well-formed response with too short a body
};

/// One request and its result.
struct request_record {
    std::string id;
    std::string key;
    std::string idempotency_key; ///< empty: the request is idempotent
    bool keyed = true;
    request_result result = request_result::no_answer;
    unsigned status = 0;
    std::string error;      ///< error name from the response header
    nanoseconds latency{0}; ///< measured from the intended send time
    std::uint32_t stream = 0;
};

} // namespace figreach::load
