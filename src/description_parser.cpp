#include "figreach/description_parser.h"

#include <map>
#include <set>
#include <utility>

#include "figreach/toml_reader.h"

namespace figreach {

namespace {

constexpr std::int64_t max_weight = 1000;
constexpr std::int64_t max_partitions = 4096;
constexpr std::int64_t max_slices_per_server = 1024;
constexpr std::int64_t max_slots = 4096;
constexpr std::int64_t max_connections = 65536;
constexpr milliseconds max_allowed_deadline = std::chrono::hours{1};

service_state to_state(const std::string& word)
{
    return word == "out" ? service_state::out : service_state::in;
}

failure_domain parse_failure_domain(toml_reader& in)
{
    failure_domain out;
    out.name = {in.name("name")};
    out.region = {in.text("region")};
    out.state = to_state(in.choice_or("state", "in", {"in", "out"}));
    in.reject_unknown_keys();
    return out;
}

tenant parse_tenant(toml_reader& in)
{
    tenant out;
    out.name = {in.name("name")};
    out.weight = static_cast<std::uint32_t>(in.number_or("weight", 1, 1, max_weight));
    in.reject_unknown_keys();
    return out;
}

request_class parse_class(toml_reader& in)
{
    request_class out;
    out.name = {in.name("name")};
    out.shed_order = static_cast<std::uint32_t>(in.number_or("shed_order", 0, 0, max_weight));
    in.reject_unknown_keys();
    return out;
}

key_pin parse_pin(toml_reader& in)
{
    key_pin out;
    out.key = in.text("key");
    out.server = {in.text("server")};
    in.reject_unknown_keys();
    return out;
}

service parse_service(toml_reader& in)
{
    service out;
    out.name = {in.name("name")};
    out.tenant = {in.text("tenant")};
    out.divided_by_key = in.flag_or("divided_by_key", out.divided_by_key);
    out.checks_fences = in.flag_or("checks_fences", out.checks_fences);
    out.partitions =
        static_cast<std::uint32_t>(in.number_or("partitions", out.partitions, 1, max_partitions));
    out.slices_per_server = static_cast<std::uint32_t>(
        in.number_or("slices_per_server", out.slices_per_server, 1, max_slices_per_server));
    out.default_deadline = in.time_or("default_deadline_ms", out.default_deadline, milliseconds{1},
                                      max_allowed_deadline);
    out.longest_deadline = in.time_or("longest_deadline_ms", out.longest_deadline, milliseconds{1},
                                      max_allowed_deadline);
    if (out.longest_deadline < out.default_deadline) {
        in.add_fault("longest_deadline_ms", std::to_string(out.longest_deadline.count()),
                     "at least default_deadline_ms (" +
                         std::to_string(out.default_deadline.count()) + ")");
    }
    out.idempotent_methods = in.texts_or("idempotent_methods", out.idempotent_methods);
    for (auto& item : in.tables("class")) {
        out.classes.push_back(parse_class(item));
    }
    for (auto& item : in.tables("pin")) {
        out.pins.push_back(parse_pin(item));
    }
    in.reject_unknown_keys();
    return out;
}

backend_server parse_server(toml_reader& in)
{
    backend_server out;
    out.name = {in.name("name")};
    out.service = {in.text("service")};
    out.failure_domain = {in.text("failure_domain")};
    out.address = in.address("address");
    out.slots = static_cast<std::uint32_t>(in.number_or("slots", out.slots, 1, max_slots));
    out.connections = static_cast<std::uint32_t>(
        in.number_or("connections", out.connections, 1, max_connections));
    out.state = to_state(in.choice_or("state", "in", {"in", "out"}));
    in.reject_unknown_keys();
    return out;
}

/// Lines of the tables by kind, in file order.
using line_map = std::map<std::string, std::vector<unsigned>>;

template <class Item>
std::set<std::string> names_of(const std::vector<Item>& items)
{
    std::set<std::string> names;
    for (const auto& item : items) {
        if (!item.name.empty()) {
            names.insert(item.name.value);
        }
    }
    return names;
}

/// Finds faults that involve several tables: duplicate names and references to unknown names.
class cross_check {
public:
    cross_check(const description& all_, const std::string& file_, const line_map& lines_,
                fault_list& faults_)
        : all{all_}, file{file_}, lines{lines_}, faults{faults_}
    {
    }

    void run()
    {
        this->check_unique("failure_domain", this->all.failure_domains);
        this->check_unique("tenant", this->all.tenants);
        this->check_unique("service", this->all.services);
        this->check_unique("backend_server", this->all.backend_servers);
        this->check_services();
        this->check_servers();
    }

private:
    /// A table of the description as reported in faults.
    struct location {
        std::string path;
        unsigned line = 0;
    };

    template <class Item>
    location location_of(const std::string& kind, const std::vector<Item>& items,
                         const Item& item) const
    {
        const auto index = static_cast<std::size_t>(&item - items.data());
        return {.path = kind + " '" + item.name.value + "'",
                .line = this->lines.at(kind).at(index)};
    }

    void add_fault(const location& where, const std::string& key, std::string found,
                   std::string allowed)
    {
        this->faults.push_back({.file = this->file,
                                .line = where.line,
                                .key = where.path + "." + key,
                                .found = std::move(found),
                                .allowed = std::move(allowed)});
    }

    template <class Item>
    void check_unique(const std::string& kind, const std::vector<Item>& items)
    {
        std::set<std::string> seen;
        for (const auto& item : items) {
            const bool repeated = !item.name.empty() && !seen.insert(item.name.value).second;
            if (repeated) {
                this->add_fault(this->location_of(kind, items, item), "name", "a duplicate name",
                                "a unique name");
            }
        }
    }

    void check_reference(const location& where, const std::string& key, const std::string& name,
                         const std::set<std::string>& names)
    {
        if (name.empty() || names.contains(name)) {
            return;
        }
        std::string allowed;
        for (const auto& one : names) {
            allowed += allowed.empty() ? one : " | " + one;
        }
        this->add_fault(where, key, "'" + name + "'",
                        allowed.empty() ? "a name in the description" : allowed);
    }

    void check_services()
    {
        const auto tenants = names_of(this->all.tenants);
        for (const auto& one : this->all.services) {
            const auto where = this->location_of("service", this->all.services, one);
            this->check_reference(where, "tenant", one.tenant.value, tenants);
            this->check_classes(where, one);
            this->check_pins(where, one);
        }
    }

    void check_classes(const location& where, const service& one)
    {
        std::set<class_id> seen;
        for (const auto& item : one.classes) {
            if (!seen.insert(item.name).second) {
                this->add_fault(where, "class", "'" + item.name.value + "' twice",
                                "unique class names");
            }
        }
    }

    void check_pins(const location& where, const service& one)
    {
        std::set<std::string> seen;
        for (const auto& pin : one.pins) {
            const auto* server = find_server(this->all, pin.server);
            if (server == nullptr || server->service != one.name) {
                this->add_fault(where, "pin", "'" + pin.server.value + "'",
                                "a backend server of service '" + one.name.value + "'");
            }
            if (!seen.insert(pin.key).second) {
                this->add_fault(where, "pin", "key '" + pin.key + "' twice", "unique keys");
            }
        }
    }

    void check_servers()
    {
        const auto services = names_of(this->all.services);
        const auto domains = names_of(this->all.failure_domains);
        std::map<std::string, std::string> addresses;
        for (const auto& one : this->all.backend_servers) {
            const auto where = this->location_of("backend_server", this->all.backend_servers, one);
            this->check_reference(where, "service", one.service.value, services);
            this->check_reference(where, "failure_domain", one.failure_domain.value, domains);
            const auto [taken, is_new] = addresses.emplace(one.address, one.name.value);
            if (!is_new && !one.address.empty()) {
                this->add_fault(where, "address",
                                "'" + one.address + "', as '" + taken->second + "'",
                                "an address of its own");
            }
        }
    }

    const description& all;
    const std::string& file;
    const line_map& lines;
    fault_list& faults;
};

template <class Parse>
auto parse_tables(toml_reader& in, const std::string& key, Parse parse, line_map& lines)
{
    std::vector<decltype(parse(in))> out;
    for (auto& item : in.tables(key)) {
        lines[key].push_back(item.line());
        out.push_back(parse(item));
    }
    return out;
}

} // namespace

parsed_description parse_description(std::string_view toml, const std::string& file)
{
    parsed_description out;
    const auto root = parse_toml(toml, file, out.faults);
    if (!root) {
        return out;
    }
    line_map lines;
    toml_reader in{*root, "", file, out.faults};
    out.value.failure_domains = parse_tables(in, "failure_domain", parse_failure_domain, lines);
    out.value.tenants = parse_tables(in, "tenant", parse_tenant, lines);
    out.value.services = parse_tables(in, "service", parse_service, lines);
    out.value.backend_servers = parse_tables(in, "backend_server", parse_server, lines);
    in.reject_unknown_keys();
    cross_check{out.value, file, lines, out.faults}.run();
    return out;
}

} // namespace figreach
