#pragma once

#include <string>

#include <boost/asio/awaitable.hpp>

#include "figreach/direct/runtime/host_context.h"
#include "figreach/ids.h"

namespace figreach::direct {

/// Tries connections to backend servers while this host may have lost its path to them.
class path_prober {
public:
    /// `state` must outlive the prober.
    explicit path_prober(host_context& state);

    void start();

private:
    boost::asio::awaitable<void> run();
    void start_probes();
    boost::asio::awaitable<void> probe(backend_server_id server, std::string address);

    host_context& state;
};

} // namespace figreach::direct
