#include "figreach/runtime/route_log.h"

#include <set>

#include "figreach/runtime/log.h"

namespace figreach {

namespace {

void log_description(const routing_snapshot& before, const routing_snapshot& now)
{
    const auto old_version = before.system_description ? before.system_description->version : 0;
    if (now.system_description && now.system_description->version != old_version) {
        log_event(log_level::info, "description_in_force",
                  {{"version", std::to_string(now.system_description->version)}});
    }
}

void log_partitions(const routing_snapshot& before, const routing_snapshot& now)
{
    for (const auto& [id, document] : now.partitions) {
        const auto old = before.partitions.find(id);
        const bool same = old != before.partitions.end() && old->second && document &&
                          old->second->version == document->version;
        if (!same && document) {
            log_event(log_level::info, "partition_in_force",
                      {{"service", id.service.value},
                       {"partition", std::to_string(id.number)},
                       {"version", std::to_string(document->version)}});
        }
    }
}

std::set<backend_server_id> coordinated_here(const routing_snapshot& snapshot)
{
    std::set<backend_server_id> out;
    for (const auto& [name, route] : snapshot.servers) {
        if (route.coordinated_here) {
            out.insert(name);
        }
    }
    return out;
}

std::set<host_id> hosts_of(const routing_snapshot& snapshot)
{
    std::set<host_id> out;
    for (const auto& one : snapshot.hosts) {
        out.insert(one.host);
    }
    return out;
}

template <class Id>
void log_difference(const std::set<Id>& from, const std::set<Id>& without, const char* event,
                    const char* what)
{
    for (const auto& one : from) {
        if (!without.contains(one)) {
            log_event(log_level::info, event, {{what, one.value}});
        }
    }
}

} // namespace

void log_route_changes(const routing_snapshot* before, const routing_snapshot& now)
{
    static const routing_snapshot nothing;
    const auto& old = before == nullptr ? nothing : *before;
    log_description(old, now);
    log_partitions(old, now);
    const auto coordinated_before = coordinated_here(old);
    const auto coordinated_now = coordinated_here(now);
    log_difference(coordinated_now, coordinated_before, "coordinator_gained", "server");
    log_difference(coordinated_before, coordinated_now, "coordinator_lost", "server");
    const auto hosts_before = hosts_of(old);
    const auto hosts_now = hosts_of(now);
    log_difference(hosts_now, hosts_before, "host_joined", "peer");
    log_difference(hosts_before, hosts_now, "host_left", "peer");
}

} // namespace figreach
