#pragma once

#include <boost/asio/io_context.hpp>

#include "backend_state.h"

namespace figreach::standin {

/// Stand-in for one backend server: serves docs/backend-contract.md until the context stops.
/// Faults, counts and the record of executions are under /standin/.
void run_backend(boost::asio::io_context& io, const backend_settings& settings);

} // namespace figreach::standin
