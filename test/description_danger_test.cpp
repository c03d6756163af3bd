#include "figreach/description_danger.h"

#include "figreach/description_diff.h"
#include "figreach/description_parser.h"
#include "figreach/description_transition.h"
#include "property.h"
#include "sample_description.h"

using namespace figreach;

namespace {

description parsed(const std::string& toml)
{
    return parse_description(toml, "d").value;
}

std::string join(const std::vector<std::string>& lines)
{
    std::string out;
    for (const auto& line : lines) {
        out += line + "\n";
    }
    return out;
}

struct danger_row {
    const char* name;
    void (*change)(description& all);
    double busy_slots;
    const char* dangers;
};

void take_out(description& all, std::size_t first, std::size_t last)
{
    for (auto i = first; i <= last; ++i) {
        all.failure_domains[i].state = service_state::out;
    }
}

const danger_row danger_rows[] = {
    {"nothing", [](description&) {}, 8.0, ""},
    {"half is left", [](description& d) { take_out(d, 0, 0); }, 4.0, ""},
    {"below load", [](description& d) { take_out(d, 0, 0); }, 4.5,
     "service 'lessons' would keep 4 of 8 slots; 5 are busy now.\n"},
    {"below half",
     [](description& d) {
         d.backend_servers.pop_back();
         d.backend_servers[0].slots = 3;
     },
     0.0, "service 'lessons' would keep 3 of 8 slots, less than half.\n"},
    {"no server", [](description& d) { take_out(d, 0, 1); }, 0.0,
     "service 'lessons' would have no backend server that receives work.\n"},
    {"last domain", [](description& d) { take_out(d, 0, 2); }, 0.0,
     "No failure domain would be in: nothing would receive work.\n"
     "service 'lessons' would have no backend server that receives work.\n"},
    {"pinned key",
     [](description& d) {
         d.services[0].pins = {{.key = "k", .server = {"s1"}}};
         take_out(d, 0, 0);
     },
     0.0,
     "key 'k' of service 'lessons' is pinned to backend server 's1', which would not receive "
     "work.\n"},
    {"tenant and service go",
     [](description& d) {
         d.tenants.clear();
         d.services.clear();
     },
     0.0,
     "service 'lessons' is in use and would be removed.\n"
     "tenant 'pelita' has services and would be removed.\n"},
};

struct transition_row {
    const char* name;
    void (*change)(description& all);
    const char* faults;
};

const transition_row transition_rows[] = {
    {"slots", [](description& d) { d.backend_servers[0].slots = 9; }, ""},
    {"new server", [](description& d) { d.backend_servers[0].name = {"s3"}; }, ""},
    {"partitions", [](description& d) { d.services[0].partitions = 2; },
     "d: service 'lessons'.partitions: found 2; allowed: 1, as before; describe a new service for "
     "another number\n"},
    {"address", [](description& d) { d.backend_servers[0].address = "127.0.0.1:1"; },
     "d: backend_server 's1'.address: found '127.0.0.1:1'; allowed: '127.0.0.1:9001' until the "
     "server is drained, or a new name\n"},
    {"service", [](description& d) { d.backend_servers[0].service = {"media"}; },
     "d: backend_server 's1'.service: found 'media'; allowed: 'lessons' until the server is "
     "drained, or a new name\n"},
};

struct diff_row {
    const char* from;
    const char* to;
    const char* changes;
};

const diff_row diff_rows[] = {
    {"name = \"c\"", "name = \"e\"", "failure_domain 'c' removed\nfailure_domain 'e' added\n"},
    {"shed_order = 2", "shed_order = 3", "service 'lessons'.class 'browse'.shed_order: 2 -> 3\n"},
    {"tenant = \"pelita\"",
     "tenant = \"pelita\"\nchecks_fences = false\nidempotent_methods = [\"GET\"]\n"
     "pin = [{key = \"k\", server = \"s1\"}]",
     "service 'lessons'.checks_fences: true -> false\n"
     "service 'lessons'.idempotent_methods: GET HEAD OPTIONS -> GET\n"
     "service 'lessons'.pin 'k'.server: (absent) -> s1\n"},
    {"address = \"127.0.0.1:9001\"", "address = \"127.0.0.1:9003\"\nslots = 8",
     "backend_server 's1'.address: 127.0.0.1:9001 -> 127.0.0.1:9003\n"
     "backend_server 's1'.slots: 4 -> 8\n"},
    {"# ours", "# theirs", ""},
};

} // namespace

TEST_GROUP(description_danger_test){};

TEST(description_danger_test, names_each_danger)
{
    for (const auto& row : danger_rows) {
        const auto before = parsed(sample_description());
        auto after = before;
        row.change(after);
        const auto dangers =
            description_dangers(before, after, {{service_id{"lessons"}, row.busy_slots}});
        STRCMP_EQUAL_TEXT(row.dangers, join(dangers).c_str(), row.name);
    }
}

TEST(description_danger_test, refuses_changes_that_could_give_a_key_two_owners)
{
    for (const auto& row : transition_rows) {
        const auto before = parsed(sample_description());
        auto after = before;
        row.change(after);
        STRCMP_EQUAL_TEXT(row.faults, to_text(transition_faults(before, after, "d")).c_str(),
                          row.name);
    }
    auto drained = parsed(sample_description());
    drained.backend_servers[0].state = service_state::out;
    auto moved = drained;
    moved.backend_servers[0].address = "127.0.0.1:1";
    CHECK(transition_faults(drained, moved, "d").empty());
}

TEST(description_danger_test, diff_names_each_difference)
{
    for (const auto& row : diff_rows) {
        const auto changes = description_diff(parsed(sample_description()),
                                              parsed(with(sample_description(), row.from, row.to)));
        STRCMP_EQUAL_TEXT(row.changes, join(changes).c_str(), row.to);
    }
}
