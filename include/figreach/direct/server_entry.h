#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "figreach/ids.h"
#include "figreach/time.h"

namespace figreach::direct {

/// Entry of a backend server in service discovery.
struct server_entry {
    backend_server_id id;
    std::uint64_t lifetime = 0; ///< start time of the process; grows with each restart
    std::uint64_t report = 0;   ///< sequence number of the report within the lifetime
    service_id service;
    failure_domain_id failure_domain;
    std::string address; ///< IP number and port
    std::uint32_t slots = 0;
    bool leaving = false;
    milliseconds cold_for{0}; ///< remaining cold time as of the report
};

/// Load that a backend server reports with an answer.
struct load_report {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    double slowdown = 1.0; ///< current service time relative to the usual one

    friend bool operator==(const load_report&, const load_report&) = default;
};

/// What a backend server said last about the rate that it accepts.
struct rate_limit_report {
    backend_server_id server;
    std::optional<double> rate; ///< requests per second from all hosts; empty if it names no limit
    milliseconds age{0};

    friend bool operator==(const rate_limit_report&, const rate_limit_report&) = default;
};

/// A backend server has said in an answer that it is leaving.
struct leaving_report {
    backend_server_id server;
    std::uint64_t lifetime = 0;
    milliseconds age{0}; ///< of the first such answer

    friend bool operator==(const leaving_report&, const leaving_report&) = default;
};

/// The queue with which a backend server last turned a request away.
struct full_queue {
    std::uint32_t waiting = 0;
    milliseconds age{0};

    friend bool operator==(const full_queue&, const full_queue&) = default;
};

/// A load report received by any host.
struct server_load {
    backend_server_id server;
    load_report report;
    milliseconds age{0};
    std::optional<full_queue> full = std::nullopt;

    friend bool operator==(const server_load&, const server_load&) = default;
};

} // namespace figreach::direct
