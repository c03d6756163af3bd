#pragma once

#include <cstdint>
#include <string>

#include "figreach/time.h"

namespace figreach::load {

/// How one request ended for its caller.
enum class request_result : std::uint8_t {
    answered,        ///< whole answer to this request
    not_run,         ///< refused with the word that it did not run
    unknown,         ///< refused with the word that it may have run
    no_answer,       ///< the connection broke or the time passed
    foreign_answer,  ///< answer to another request
    shortened_answer ///< an answer that looked complete and was not
};

/// One request that was sent, with its end.
struct request_record {
    std::string id;
    std::string key;
    std::string idempotency_key; ///< empty: idempotent request
    bool keyed = true;
    request_result result = request_result::no_answer;
    unsigned status = 0;
    std::string error;      ///< error name of a refusal
    nanoseconds latency{0}; ///< from the intended arrival
    std::uint32_t stream = 0;
};

} // namespace figreach::load
