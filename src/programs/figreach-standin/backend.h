#pragma once

#include <cstdint>
#include <string>

#include <boost/asio/io_context.hpp>

#include "figreach/time.h"

namespace figreach::standin {

struct backend_settings {
    std::string name;
    std::string address;
    bool checks_fences = true;
    milliseconds service_time{2};
};

/// Stand-in for one backend server: serves docs/backend-contract.md until the context stops.
void run_backend(boost::asio::io_context& io, const backend_settings& settings);

} // namespace figreach::standin
