#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "figreach/ids.h"
#include "figreach/time.h"

namespace figreach {

/// Whether a failure domain or a backend server may receive new work.
enum class service_state : std::uint8_t {
    in,  ///< receives work
    out, ///< receives no new work; running requests may finish
};

struct failure_domain {
    failure_domain_id name;
    region_id region;
    service_state state = service_state::in;
};

/// The client account that requests are charged to. Under contention, the weight determines its
/// share of a backend server.
struct tenant {
    tenant_id name;
    std::uint32_t weight = 1;
};

/// A class of requests. Under overload, the class with the highest shed_order is shed first.
struct request_class {
    class_id name;
    std::uint32_t shed_order = 0;
};

/// A key that an operator assigns to a fixed backend server.
struct key_pin {
    std::string key;
    backend_server_id server;
};

struct service {
    service_id name;
    tenant_id tenant;
    bool divided_by_key = true;
    bool checks_fences = true;
    std::uint32_t partitions = 1;
    std::uint32_t slices_per_server = 16;
    milliseconds default_deadline{2000};
    milliseconds longest_deadline{30000};
    std::vector<std::string> idempotent_methods{"GET", "HEAD", "OPTIONS"};
    std::vector<request_class> classes;
    std::vector<key_pin> pins;
};

struct backend_server {
    backend_server_id name;
    service_id service;
    failure_domain_id failure_domain;
    std::string address; ///< IP address and port
    std::uint32_t slots = 4;
    std::uint32_t connections = 130;
    service_state state = service_state::in;
};

/// The operators' description of the system. It is validated and replaced as a whole and has one
/// version.
struct description {
    std::uint64_t version = 0;
    std::vector<failure_domain> failure_domains;
    std::vector<tenant> tenants;
    std::vector<service> services;
    std::vector<backend_server> backend_servers;
};

[[nodiscard]] const service* find_service(const description& all, const service_id& name);
[[nodiscard]] const backend_server* find_server(const description& all,
                                                const backend_server_id& name);
[[nodiscard]] const failure_domain* find_failure_domain(const description& all,
                                                        const failure_domain_id& name);

/// Whether a backend server may receive new work: both it and its failure domain are in.
[[nodiscard]] bool receives_work(const description& all, const backend_server& server);

} // namespace figreach
