#include "figreach/routing.h"

#include "figreach/assigner.h"
#include "property.h"

using namespace figreach;

namespace {

description two_servers()
{
    description all;
    all.version = 1;
    all.failure_domains = {{.name = {"fd-1"}, .region = {"my"}}};
    all.tenants = {{.name = {"pelita"}}};
    all.services = {{.name = {"lessons"}, .tenant = {"pelita"}, .partitions = 3}};
    all.backend_servers = {
        {.name = {"a"}, .service = {"lessons"}, .failure_domain = {"fd-1"}, .address = ""},
        {.name = {"b"}, .service = {"lessons"}, .failure_domain = {"fd-1"}, .address = ""}};
    return all;
}

routing_snapshot snapshot_of(const description& all)
{
    routing_snapshot out;
    out.system_description = std::make_shared<const description>(all);
    for (std::uint32_t number = 0; number < all.services[0].partitions; ++number) {
        const partition_id id{.service = all.services[0].name, .number = number};
        out.partitions[id] = std::make_shared<const partition>(first_assignment(all, id, {}, "w"));
    }
    for (const auto& server : all.backend_servers) {
        out.servers[server.name].server = server.name;
    }
    return out;
}

} // namespace

TEST_GROUP(routing_test){};

TEST(routing_test, every_key_has_the_owner_of_its_slice)
{
    const auto all = two_servers();
    const auto snapshot = snapshot_of(all);
    CHECK_PROPERTY("route agrees with the document", [&](const std::string& key) {
        const auto to = find_route(snapshot, all.services[0], key);
        RC_ASSERT(to.hash == hash_key(key));
        RC_ASSERT(to.document->id == partition_of(all.services[0], to.hash));
        RC_ASSERT(to.document->slices[to.slice].first <= to.hash);
        RC_ASSERT(to.hash <= last_hash(*to.document, to.slice));
        RC_ASSERT(to.server->server == owner_of(*to.document, to.slice));
    });
}

TEST(routing_test, a_key_without_document_has_no_server)
{
    const auto all = two_servers();
    auto snapshot = snapshot_of(all);
    snapshot.partitions.clear();
    POINTERS_EQUAL(nullptr, find_route(snapshot, all.services[0], "key").server);
}

TEST(routing_test, an_owner_that_left_the_description_is_no_server)
{
    const auto all = two_servers();
    auto snapshot = snapshot_of(all);
    snapshot.servers.clear();
    POINTERS_EQUAL(nullptr, find_route(snapshot, all.services[0], "key").server);
}
