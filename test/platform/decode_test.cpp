#include "decode.h"

#include <boost/json.hpp>

#include "../property.h"
#include "figreach/direct/route_table.h"

using namespace figreach;
using namespace figreach::direct;
using namespace figreach::platform;

namespace {

constexpr auto configuration = R"({"version":"r7","resources":[
{"type":"routes","metadata":{"name":"a"},"spec":{"host":"h.example","prefix":"/a/",
 "route_type":"unsafe","timeout_s":1.5,"latency_target_s":0.5,"priority":1,"service":"s","attempts":2}},
{"type":"routes","metadata":{"name":"b"},"spec":{"host":"h.example","prefix":"/b/",
 "route_type":"safe","timeout_s":1.2,"latency_target_s":0.4,"priority":2,
 "traffic_split":[{"service":"s","weight":90},{"service":"m","weight":10}],"attempts":1}},
{"type":"services","metadata":{"name":"s"},"spec":{"health_path":"/healthz","max_conns":130,
 "protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":10.0,"sharded":true,"warmup_s":3.0}},
{"type":"services","metadata":{"name":"m"},"spec":{"max_conns":20}},
{"type":"later","metadata":{},"spec":{}},
{"type":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":67108864,
 "header_timeout_s":3,"idle_timeout_s":15}}]})";

constexpr auto entry =
    R"({"address":"10.128.0.9:8080","born":1700000000123,
"info":{"service":"s","version":"v1","zone":"kl-a","slots":4},
"status":{"state":"draining","seq":4,"cold_left_s":1.25}})";

/// Replaces the first occurrence of `from`; returns an empty string if there is none.
std::string replace_first(std::string text, const std::string& from, const std::string& to)
{
    const auto at = text.find(from);
    return at == std::string::npos ? std::string{} : text.replace(at, from.size(), to);
}

struct error_row {
    const char* from;
    const char* to;
    const char* field;
};

const error_row whole_configuration_errors[] = {
    {"\"resources\"", "\"others\"", "resources"},
    {"{\"version\"", "[\"version\"", "(not JSON)"},
};

struct entry_error_row {
    const char* from;
    const char* to;
    const char* entry;
    const char* field;
    const char* refused; ///< names of the routes whose requests are refused
};

const entry_error_row configuration_entry_errors[] = {
    {"r7", "7", "(all)", "version", ""},
    {"r7", "r", "(all)", "version", ""},
    {"r7", "r7x", "(all)", "version", ""},
    {"r7", "r99999999999999999999", "(all)", "version", ""},
    {"\"prefix\":\"/a/\",", "", "routes.a", "spec.prefix", "a"},
    {"\"prefix\":\"/a/\"", "\"prefix\":\"a\"", "routes.a", "spec.prefix", "a"},
    {"unsafe", "odd", "routes.a", "spec.route_type", "a"},
    {"\"timeout_s\":1.5", "\"timeout_s\":-1", "routes.a", "spec.timeout_s", "a"},
    {"\"timeout_s\":1.5", "\"timeout_s\":\"1\"", "routes.a", "spec.timeout_s", "a"},
    {"\"timeout_s\":1.5", "\"timeout_s\":1e300", "routes.a", "spec.timeout_s", "a"},
    {"\"attempts\":2", "\"attempts\":-2", "routes.a", "spec.attempts", "a"},
    {"\"attempts\":2", "\"attempts\":0", "routes.a", "spec.attempts", "a"},
    {"\"attempts\":2", "\"attempts\":4294967296", "routes.a", "spec.attempts", "a"},
    {"\"attempts\":2", "\"attempts\":\"2\"", "routes.a", "spec.attempts", "a"},
    {",\"attempts\":2", "", "routes.a", "spec.attempts", "a"},
    {"\"attempts\":2", "\"attempts\":5000000000", "routes.a", "spec.attempts", "a"},
    {"\"priority\":1", "\"priority\":5000000000", "routes.a", "spec.priority", "a"},
    {"\"service\":\"s\",\"attempts\"", "\"service\":\"x\",\"attempts\"", "routes.a", "service x",
     "a"},
    {"\"weight\":90", "\"weight\":\"90\"", "routes.b", "spec.traffic_split.weight", "b"},
    {"[{\"service\":\"s\",\"weight\":90},{\"service\":\"m\",\"weight\":10}]", "[]", "routes.b",
     "spec.traffic_split", "b"},
    {"{\"type\":\"routes\"", "{\"type\":\"odd\"", "odd.a", "type", "a"},
    {"\"sharded\":true", "\"sharded\":1", "services.s", "spec.sharded", "ab"},
    {"\"max_header_bytes\":16384,", "", "limits.5", "spec.max_header_bytes", ""},
    {"\"max_header_bytes\":16384", "\"max_header_bytes\":-1", "limits.5", "spec.max_header_bytes",
     ""},
};

constexpr auto tenants = R"({"version":"r8","resources":[
{"type":"tenants","metadata":{"name":"alpha"},"spec":{"api_keys":["a1","a2"],"priority":1,
 "rate_per_s":315,"burst":31.5}},
{"type":"tenants","metadata":{"name":"beta"},"spec":{"api_keys":["b1"]}}]})";

const entry_error_row tenant_errors[] = {
    {"\"name\":\"alpha\"", "\"name\":\"al\\npha\"", "tenants.al\npha", "spec.name", ""},
    {"[\"a1\",\"a2\"]", "\"a1\"", "tenants.alpha", "spec.api_keys", ""},
    {"\"a2\"", "5", "tenants.alpha", "spec.api_keys", ""},
    {"\"a2\"", "\"\"", "tenants.alpha", "spec.api_keys", ""},
    {"\"api_keys\":[\"a1\",\"a2\"],", "", "tenants.alpha", "spec.api_keys", ""},
    {"\"priority\":1", "\"priority\":-1", "tenants.alpha", "spec.priority", ""},
    {"\"rate_per_s\":315", "\"rate_per_s\":-1", "tenants.alpha", "spec.rate_per_s", ""},
    {"\"rate_per_s\":315", "\"rate_per_s\":\"315\"", "tenants.alpha", "spec.rate_per_s", ""},
    {"\"burst\":31.5", "\"burst\":-1", "tenants.alpha", "spec.burst", ""},
    {"\"b1\"", "\"a1\"", "tenants.beta", "api_keys, one of which alpha holds too", ""},
};

const error_row entry_errors[] = {
    {"10.128.0.9:8080", "host:8080", "address"},
    {"10.128.0.9:8080", "10.128.0.9:0", "address"},
    {"10.128.0.9:8080", "10.128.0.9:-1", "address"},
    {"10.128.0.9:8080", "10.128.0.9:65536", "address"},
    {"10.128.0.9:8080", "10.128.0.9:99999999999999999999", "address"},
    {"10.128.0.9:8080", "10.128.0.9:", "address"},
    {"\"born\":1700000000123", "\"born\":18446744073709551615", "born"},
    {"\"born\":1700000000123", "\"born\":1e300", "born"},
    {"\"born\":1700000000123", "\"born\":1e999999", "born"},
    {"\"born\":1700000000123", "\"born\":99999999999999999999999", "born"},
    {"\"seq\":4", "\"seq\":18446744073709551615", "status.seq"},
    {"\"seq\":4", "\"seq\":1e300", "status.seq"},
    {"\"slots\":4", "\"slots\":18446744073709551616", "info.slots"},
    {"\"cold_left_s\":1.25", "\"cold_left_s\":1e300", "status.cold_left_s"},
    {"\"born\":1700000000123", "\"born\":1.5", "born"},
    {"\"born\":1700000000123", "\"born\":\"x\"", "born"},
    {"\"info\":{", "\"other\":{", "info"},
    {"\"slots\":4", "\"slots\":-4", "info.slots"},
    {"\"slots\":4", "\"slots\":100000", "info.slots"},
    {"\"service\":\"s\"", "\"service\":5", "info.service"},
    {"draining", "odd", "status.state"},
    {"\"seq\":4", "\"seq\":null", "status.seq"},
    {"\"cold_left_s\":1.25", "\"cold_left_s\":-1", "status.cold_left_s"},
    {"{\"address\"", "\xff", "(not JSON)"},
};

/// Names of the sample's routes whose requests are not all served.
std::string refused_routes(const route_configuration& read)
{
    std::string out;
    const route_table found{std::make_shared<const route_configuration>(read)};
    for (const char* name : {"a", "b"}) {
        const auto* route = found.find("h.example", std::string{"/"} + name + "/x");
        bool served = route != nullptr && route->unreadable_field.empty();
        if (served) {
            for (const auto& one : route->services) {
                const auto service = read.services.find(one.service);
                served = served && service != read.services.end() &&
                         service->second.unreadable_field.empty();
            }
        }
        out += served ? "" : name;
    }
    return out;
}

std::size_t number_of_fields(const boost::json::value& value)
{
    std::size_t out = 0;
    if (const auto* object = value.if_object()) {
        for (const auto& [name, child] : *object) {
            out += 1 + number_of_fields(child);
        }
    }
    if (const auto* array = value.if_array()) {
        for (const auto& child : *array) {
            out += number_of_fields(child);
        }
    }
    return out;
}

/// Replaces the field with the given number in document order and returns its path. `left` counts
/// down to it.
std::string replace_field(boost::json::value& value, std::size_t& left,
                          const boost::json::value& garbage)
{
    if (auto* object = value.if_object()) {
        for (auto& [name, child] : *object) {
            std::string path{name};
            if (left == 0) {
                child = garbage;
                return path;
            }
            --left;
            const auto below = replace_field(child, left, garbage);
            if (!below.empty()) {
                path += '/';
                path += below;
                return path;
            }
        }
    }
    if (auto* array = value.if_array()) {
        for (std::size_t i = 0; i < array->size(); ++i) {
            const auto below = replace_field((*array)[i], left, garbage);
            if (!below.empty()) {
                return std::to_string(i) + '/' + below;
            }
        }
    }
    return {};
}

} // namespace

TEST_GROUP(decode_test){};

TEST(decode_test, reads_a_configuration)
{
    const auto decoded = decode_configuration(configuration);
    const auto& read = std::get<route_configuration>(decoded);
    CHECK_EQUAL(7, read.version);
    CHECK_EQUAL(2, read.routes.size());
    const auto& first = read.routes[0];
    CHECK_TRUE(first.kind == request_kind::non_idempotent);
    CHECK_EQUAL(1500, first.timeout.count());
    CHECK_EQUAL(500, first.latency_objective.count());
    CHECK_EQUAL(2, first.max_servers);
    CHECK_EQUAL(1, first.rank);
    const auto& second = read.routes[1];
    CHECK_TRUE(second.kind == request_kind::idempotent);
    CHECK_EQUAL(2, second.services.size());
    CHECK_EQUAL(10, second.services[1].weight);
    CHECK_TRUE(read.services.at({"s"}).divided_by_key);
    CHECK_EQUAL(130, read.services.at({"s"}).most_connections);
    CHECK_FALSE(read.services.at({"m"}).divided_by_key);
    CHECK_EQUAL(16384, read.limits.header_bytes);
    CHECK_EQUAL(15000, read.limits.idle_time.count());
}

TEST(decode_test, reads_each_kind_of_route)
{
    struct kind_row {
        const char* type;
        request_kind kind;
        bool repeatable;
    };
    const kind_row rows[] = {
        {"safe", request_kind::idempotent, true},
        {"unsafe", request_kind::non_idempotent, false},
        {"upload", request_kind::upload, false},
        {"download", request_kind::download, true},
    };
    for (const auto& row : rows) {
        const auto decoded = decode_configuration(replace_first(configuration, "unsafe", row.type));
        const auto* read = std::get_if<route_configuration>(&decoded);
        CHECK_TRUE_TEXT(read != nullptr, row.type);
        CHECK_TRUE_TEXT(read->routes[0].kind == row.kind, row.type);
        CHECK_EQUAL_TEXT(row.repeatable, may_repeat(read->routes[0].kind), row.type);
    }
}

TEST(decode_test, names_the_wrong_field_of_a_configuration_without_entries)
{
    for (const auto& row : whole_configuration_errors) {
        const auto text = replace_first(configuration, row.from, row.to);
        CHECK_TRUE_TEXT(!text.empty(), row.from);
        const auto decoded = decode_configuration(text);
        const auto* error = std::get_if<decode_error>(&decoded);
        CHECK_TRUE_TEXT(error != nullptr, row.field);
        STRCMP_EQUAL_TEXT(row.field, error->field.c_str(), row.to);
    }
}

TEST(decode_test, refuses_only_the_entry_with_the_wrong_field)
{
    for (const auto& row : configuration_entry_errors) {
        const auto text = replace_first(configuration, row.from, row.to);
        CHECK_TRUE_TEXT(!text.empty(), row.from);
        const auto decoded = decode_configuration(text);
        const auto* read = std::get_if<route_configuration>(&decoded);
        CHECK_TRUE_TEXT(read != nullptr, row.to);
        CHECK_FALSE_TEXT(read->unreadable.empty(), row.to);
        STRCMP_EQUAL_TEXT(row.entry, read->unreadable[0].entry.c_str(), row.to);
        STRCMP_EQUAL_TEXT(row.field, read->unreadable[0].field.c_str(), row.to);
        STRCMP_EQUAL_TEXT(row.refused, refused_routes(*read).c_str(), row.to);
    }
}

TEST(decode_test, reads_tenants)
{
    const auto parsed = decode_configuration(tenants);
    const auto& read = std::get<route_configuration>(parsed);
    CHECK_EQUAL(0U, read.unreadable.size());
    CHECK_EQUAL(2U, read.tenants.size());
    const auto& alpha = read.tenants.front();
    STRCMP_EQUAL("alpha", alpha.name.value.c_str());
    CHECK_EQUAL(2U, alpha.keys.size());
    CHECK_TRUE(alpha.keys.front() == digest_of_key("a1"));
    CHECK_EQUAL(1U, alpha.rank.value());
    DOUBLES_EQUAL(315.0, alpha.rate, 0.0);
    DOUBLES_EQUAL(31.5, alpha.burst, 0.0);
    CHECK_FALSE(read.tenants.back().rank.has_value());
    DOUBLES_EQUAL(0.0, read.tenants.back().rate, 0.0);
}

/// Guards against one faulty entry that takes the keys of all tenants out of force.
TEST(decode_test, names_the_wrong_field_of_a_tenant_and_keeps_the_others)
{
    for (const auto& row : tenant_errors) {
        const auto text = replace_first(tenants, row.from, row.to);
        const auto parsed = decode_configuration(text);
        const auto& read = std::get<route_configuration>(parsed);
        CHECK_EQUAL_TEXT(1U, read.unreadable.size(), row.to);
        STRCMP_EQUAL_TEXT(row.entry, read.unreadable.front().entry.c_str(), row.to);
        STRCMP_EQUAL_TEXT(row.field, read.unreadable.front().field.c_str(), row.to);
        CHECK_EQUAL_TEXT(2U, read.tenants.size(), row.to);
        const bool other_faulty = !read.tenants.back().unreadable_field.empty();
        CHECK_FALSE_TEXT(other_faulty, row.to);
    }
}

/// 10,000 keys in one version, of which each is found.
TEST(decode_test, reads_many_keys)
{
    constexpr int count = 10'000;
    boost::json::array keys;
    for (int i = 0; i < count; ++i) {
        keys.push_back(boost::json::string{"key-" + std::to_string(i)});
    }
    const boost::json::value all{
        {"version", "r9"},
        {"resources",
         {{{"type", "tenants"}, {"metadata", {{"name", "t"}}}, {"spec", {{"api_keys", keys}}}}}}};
    const auto parsed = decode_configuration(boost::json::serialize(all));
    const route_table found{
        std::make_shared<const route_configuration>(std::get<route_configuration>(parsed))};
    CHECK_TRUE(found.tenants().find(digest_of_key("key-9999")).state == key_state::valid);
    CHECK_TRUE(found.tenants().find(digest_of_key("key-10000")).state == key_state::unknown);
}

TEST(decode_test, a_limit_that_cannot_be_read_keeps_its_default)
{
    const caller_limits usual;
    for (const char* field :
         {"max_header_bytes", "max_body_bytes", "header_timeout_s", "idle_timeout_s"}) {
        const auto name = std::string{"\""} + field + "\":";
        const auto text = replace_first(configuration, name, name + "-");
        const auto decoded = decode_configuration(text);
        const auto* read = std::get_if<route_configuration>(&decoded);
        CHECK_TRUE_TEXT(read != nullptr, field);
        CHECK_EQUAL_TEXT(1, read->unreadable.size(), field);
        const auto& limits = read->limits;
        CHECK_TRUE_TEXT(limits.header_bytes == usual.header_bytes, field);
        CHECK_TRUE_TEXT(limits.body_bytes == usual.body_bytes, field);
        CHECK_TRUE_TEXT(limits.header_time == usual.header_time, field);
        CHECK_TRUE_TEXT(limits.idle_time == usual.idle_time, field);
    }
}

TEST(decode_test, any_wrong_field_leaves_the_other_routes_in_force)
{
    const auto whole = boost::json::parse(configuration);
    const auto count = number_of_fields(whole);
    CHECK_TRUE(count > 40);
    for (std::size_t field = 0; field < count; ++field) {
        for (const char* garbage : {"null", "-7", "\"?\"", "[]", "{}", "[{}]", "1e300", "true"}) {
            auto changed = whole;
            std::size_t left = field;
            const auto place = replace_field(changed, left, boost::json::parse(garbage));
            const auto text = boost::json::serialize(changed);
            const auto decoded = decode_configuration(text);
            const auto* read = std::get_if<route_configuration>(&decoded);
            const bool has_entries = place != "resources" || *garbage == '[';
            CHECK_EQUAL_TEXT(has_entries, read != nullptr, text.c_str());
            if (read == nullptr || place == "resources") {
                continue;
            }
            const auto refused = refused_routes(*read);
            // The routes of the sample are entries 0 and 1; the services that they need are 2
            // and 3.
            const bool may_refuse_a =
                place.starts_with("resources/0") || place.starts_with("resources/2");
            const bool may_refuse_b = may_refuse_a || place.starts_with("resources/1") ||
                                      place.starts_with("resources/3");
            if (!may_refuse_a) {
                CHECK_TRUE_TEXT(refused.find('a') == std::string::npos, text.c_str());
            }
            if (!may_refuse_b || place.starts_with("resources/0")) {
                CHECK_TRUE_TEXT(refused.find('b') == std::string::npos, text.c_str());
            }
        }
    }
}

TEST(decode_test, reads_an_entry_of_a_server)
{
    const auto decoded = decode_server_entry("i-7", entry);
    const auto& read = std::get<server_entry>(decoded);
    STRCMP_EQUAL("i-7", read.id.value.c_str());
    CHECK_EQUAL(1700000000123U, read.lifetime);
    CHECK_EQUAL(4, read.report);
    CHECK_EQUAL(4, read.slots);
    CHECK_EQUAL(1250, read.cold_for.count());
    CHECK_TRUE(read.leaving);
    const auto without_start_time =
        decode_server_entry("i-7", replace_first(entry, "\"born\":1700000000123,", ""));
    CHECK_EQUAL(0, std::get<server_entry>(without_start_time).lifetime);
}

TEST(decode_test, names_the_wrong_field_of_an_entry)
{
    for (const auto& row : entry_errors) {
        const auto text = replace_first(entry, row.from, row.to);
        CHECK_TRUE_TEXT(!text.empty(), row.from);
        const auto decoded = decode_server_entry("i-7", text);
        const auto* error = std::get_if<decode_error>(&decoded);
        CHECK_TRUE_TEXT(error != nullptr, row.field);
        STRCMP_EQUAL_TEXT(row.field, error->field.c_str(), row.to);
    }
}

struct odd_id_row {
    const char* name;
    std::string id;
};

const odd_id_row odd_ids[] = {
    {"empty", ""},          {"a space", "i 7"},         {"ends a header line", "i\r\nX: 1"},
    {"a zero", {"i\0", 2}}, {"not ASCII", "i\xc3\xbc"}, {"too long", std::string(201, 'i')},
};

/// Guards against ids that would change the header of each request to the server.
TEST(decode_test, refuses_ids_that_cannot_be_sent)
{
    for (const auto& row : odd_ids) {
        const auto decoded = decode_server_entry(row.id, entry);
        const auto* error = std::get_if<decode_error>(&decoded);
        CHECK_TRUE_TEXT(error != nullptr, row.name);
        STRCMP_EQUAL_TEXT("(id)", error->field.c_str(), row.name);
    }
}

/// Guards against entries that end the process that reads them.
TEST(decode_test, an_entry_may_be_nested_very_deeply)
{
    constexpr std::size_t depth = 400'000;
    for (const char* open : {"[", "{\"a\":"}) {
        std::string nested;
        for (std::size_t i = 0; i < depth; ++i) {
            nested += open;
        }
        for (const auto& text : {nested, replace_first(entry, "\"v1\"", nested),
                                 replace_first(entry, "1.25", nested)}) {
            CHECK_TRUE(std::holds_alternative<decode_error>(decode_server_entry("i-7", text)));
        }
    }
}

TEST(decode_test, survives_any_bytes)
{
    CHECK_PROPERTY("no crash", [](const std::string& bytes, std::uint16_t cut) {
        (void)decode_configuration(bytes);
        (void)decode_server_entry("i", bytes);
        const std::string_view whole{configuration};
        const auto part = whole.substr(0, cut % whole.size());
        RC_ASSERT(std::holds_alternative<decode_error>(decode_configuration(part)));
    });
}
