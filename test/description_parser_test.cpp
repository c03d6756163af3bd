#include "figreach/description_parser.h"

#include "property.h"
#include "sample_description.h"

using namespace figreach;

namespace {

struct fault_row {
    const char* from; ///< substring of the sample to replace
    const char* to;
    const char* faults;
};

const fault_row fault_rows[] = {
    {"", "", ""},
    {"name = \"pelita\"", "name = ",
     "d:16: (syntax): found Error while parsing key-value pair: expected value, saw '\\n'; "
     "allowed: well-formed TOML\n"},
    {"name = \"pelita\"", "",
     "d:15: tenant[0].name: found nothing; allowed: a string\n"
     "d:18: service 'lessons'.tenant: found 'pelita'; allowed: a name in the "
     "description\n"},
    {"name = \"pelita\"", "name = \"a b\"",
     "d:16: tenant[0].name: found 'a b'; allowed: at most 64 letters, digits, '.', '_' and '-'\n"
     "d:18: service 'lessons'.tenant: found 'pelita'; allowed: a b\n"},
    {"state = \"in\"", "state = \"off\"",
     "d:5: failure_domain[0].state: found 'off'; allowed: in | out\n"},
    {"region = \"r\"", "region = 3",
     "d:4: failure_domain[0].region: found 3; allowed: a non-empty string\n"},
    {"name = \"b\"", "name = \"a\"",
     "d:7: failure_domain 'a'.name: found a duplicate name; allowed: a unique name\n"
     "d:31: backend_server 's2'.failure_domain: found 'b'; allowed: a | c\n"},
    {"name = \"pelita\"", "name = \"pelita\"\nweight = 0",
     "d:17: tenant[0].weight: found 0; allowed: a whole number from 1 to 1000\n"},
    {"tenant = \"pelita\"", "tenant = \"pelita\"\ncolour = \"red\"",
     "d:21: service[0].colour: found an unknown key; allowed: name | tenant | divided_by_key | "
     "checks_fences | partitions | slices_per_server | default_deadline_ms | longest_deadline_ms | "
     "idempotent_methods | class | pin\n"},
    {"tenant = \"pelita\"", "tenant = \"pelita\"\ndefault_deadline_ms = 40000",
     "d:18: service[0].longest_deadline_ms: found 30000; allowed: at least default_deadline_ms "
     "(40000)\n"},
    {"tenant = \"pelita\"", "tenant = \"pelita\"\npin = [{key = \"k\", server = \"s9\"}]",
     "d:18: service 'lessons'.pin: found 's9'; allowed: a backend server of service 'lessons'\n"},
    {"tenant = \"pelita\"",
     "tenant = \"pelita\"\npin = [{key = \"k\", server = \"s1\"}, {key = \"k\", server = \"s2\"}]",
     "d:18: service 'lessons'.pin: found key 'k' twice; allowed: unique keys\n"},
    {"127.0.0.1:9001", "localhost:9001",
     "d:29: backend_server[0].address: found 'localhost:9001'; allowed: IP address and port, for "
     "example 127.0.0.1:9000 or [::1]:9000\n"},
    {"127.0.0.1:9002", "127.0.0.1:9001",
     "d:31: backend_server 's2'.address: found '127.0.0.1:9001', as 's1'; allowed: an address of "
     "its own\n"},
    {"service = \"lessons\"", "service = \"lesson\"",
     "d:25: backend_server 's1'.service: found 'lesson'; allowed: lessons\n"},
};

} // namespace

TEST_GROUP(description_parser_test){};

TEST(description_parser_test, names_every_fault_with_place_and_remedy)
{
    for (const auto& row : fault_rows) {
        const auto parsed = parse_description(with(sample_description(), row.from, row.to), "d");
        STRCMP_EQUAL_TEXT(row.faults, to_text(parsed.faults).c_str(), row.to);
    }
}

TEST(description_parser_test, reads_every_field)
{
    const auto all = parse_description(sample_description(), "d").value;
    LONGS_EQUAL(3, all.failure_domains.size());
    LONGS_EQUAL(2, all.services[0].classes[0].shed_order);
    STRCMP_EQUAL("127.0.0.1:9002", find_server(all, {"s2"})->address.c_str());
    CHECK(receives_work(all, *find_server(all, {"s1"})));
}
