#pragma once

#include <boost/asio/io_context.hpp>

#include "backend_state.h"

namespace figreach::standin {

/// Runs a stand-in for one backend server, which implements docs/backend-contract.md, until the
/// context stops. Faults, counters and the record of executions are served under /standin/.
void run_backend(boost::asio::io_context& io, const backend_settings& settings);

} // namespace figreach::standin
