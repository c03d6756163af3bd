#include "figreach/status_advice.h"

#include <algorithm>

namespace figreach {

namespace {

using advice_list = std::vector<std::string>;

std::string join(const advice_list& names)
{
    std::string out;
    for (const auto& name : names) {
        out += out.empty() ? name : ", " + name;
    }
    return out;
}

void add_named(advice_list& out, const std::string& prefix, const advice_list& names,
               const std::string& suffix)
{
    if (!names.empty()) {
        out.push_back(prefix + join(names) + suffix);
    }
}

void advise_store(advice_list& out, const system_view& view)
{
    if (!view.store_reachable) {
        out.emplace_back("The platform's store does not answer: restore it. Owners keep their "
                         "keys meanwhile, but no change can be accepted.");
    }
}

void advise_services(advice_list& out, const description& all)
{
    advice_list names;
    for (const auto& service : all.services) {
        const bool served = std::ranges::any_of(all.backend_servers, [&](const auto& server) {
            return server.service == service.name && receives_work(all, server);
        });
        if (!served) {
            names.push_back(service.name.value);
        }
    }
    add_named(out, "No backend server receives work for service ", names,
              ": take a failure domain or a backend server in.");
}

void advise_missing_partitions(advice_list& out, const routing_snapshot& routing)
{
    advice_list names;
    for (const auto& service : routing.system_description->services) {
        std::uint32_t known = 0;
        for (const auto& [id, document] : routing.partitions) {
            known += id.service == service.name ? 1U : 0U;
        }
        if (known < service.partitions) {
            names.push_back(service.name.value);
        }
    }
    add_named(out, "Keys have no owner yet in service ", names,
              ": wait a few seconds; if it persists, check whether the store accepts writes.");
}

void advise_coordinators(advice_list& out, const routing_snapshot& routing)
{
    advice_list names;
    for (const auto& [name, route] : routing.servers) {
        if (route.coordinator.empty()) {
            names.push_back(name.value);
        }
    }
    add_named(out, "No entry host coordinates backend server ", names,
              ": check whether entry hosts are running.");
}

void advise_hosts(advice_list& out, const routing_snapshot& routing)
{
    advice_list suspects;
    advice_list behind;
    for (const auto& host : routing.hosts) {
        const bool suspect = host.state == host_liveness::suspect;
        if (suspect) {
            suspects.push_back(host.host.value);
        }
        else if (host.state == host_liveness::alive &&
                 host.description_version < routing.system_description->version) {
            behind.push_back(host.host.value);
        }
    }
    add_named(out, "No recent message from entry host ", suspects,
              ": check whether it runs and is reachable; replace it if not.");
    add_named(out, "An older description is in force at entry host ", behind,
              ": wait a few seconds; replace the host if it remains behind.");
}

/// Backend servers that receive no work, by their own state or that of their failure domain, but
/// still own slices.
advice_list out_servers_with_slices(const routing_snapshot& routing)
{
    advice_list names;
    for (const auto& server : routing.system_description->backend_servers) {
        if (!receives_work(*routing.system_description, server) &&
            owned_slices(routing, server.name) > 0) {
            names.push_back(server.name.value);
        }
    }
    return names;
}

void advise_states(advice_list& out, const routing_snapshot& routing)
{
    const auto& all = *routing.system_description;
    advice_list domains;
    for (const auto& domain : all.failure_domains) {
        if (domain.state == service_state::out) {
            domains.push_back(domain.name.value);
        }
    }
    advice_list servers;
    for (const auto& server : all.backend_servers) {
        if (server.state == service_state::out) {
            servers.push_back(server.name.value);
        }
    }
    add_named(out, "Keys still move away from backend server ", out_servers_with_slices(routing),
              ": wait until it owns 0 slices before you work on it.");
    add_named(out, "Out: failure domain ", domains, ". Take it in when its work is done.");
    add_named(out, "Drained: backend server ", servers, ". Undrain it when its work is done.");
}

} // namespace

std::vector<std::string> status_advice(const system_view& view)
{
    advice_list out;
    advise_store(out, view);
    if (view.routing == nullptr || !view.routing->system_description) {
        out.emplace_back(view.stored_version == 0
                             ? "No description is in force: apply the first one."
                             : "This entry host has not learned the description yet: wait a few "
                               "seconds; replace the host if the problem persists.");
        return out;
    }
    if (view.stored_version > view.routing->system_description->version) {
        out.emplace_back("This entry host is behind the store: wait a few seconds; replace the "
                         "host if the problem persists.");
    }
    advise_services(out, *view.routing->system_description);
    advise_coordinators(out, *view.routing);
    advise_missing_partitions(out, *view.routing);
    advise_hosts(out, *view.routing);
    advise_states(out, *view.routing);
    if (out.empty()) {
        out.emplace_back("Nothing to do.");
    }
    return out;
}

std::uint32_t owned_slices(const routing_snapshot& routing, const backend_server_id& server)
{
    std::uint32_t count = 0;
    for (const auto& [id, document] : routing.partitions) {
        for (std::size_t i = 0; i < document->slices.size(); ++i) {
            count += owner_of(*document, i) == server ? 1U : 0U;
        }
    }
    return count;
}

} // namespace figreach
