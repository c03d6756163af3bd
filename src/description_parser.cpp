#include "figreach/description_parser.h"

#include <map>
#include <set>
#include <utility>

#include "figreach/toml_reader.h"

namespace figreach {

namespace {

constexpr std::int64_t most_weight = 1000;
constexpr std::int64_t most_partitions = 4096;
constexpr std::int64_t most_slices_per_server = 1024;
constexpr std::int64_t most_slots = 4096;
constexpr std::int64_t most_connections = 65536;
constexpr milliseconds longest_allowed_deadline = std::chrono::hours{1};

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
    out.weight = static_cast<std::uint32_t>(in.number_or("weight", 1, 1, most_weight));
    in.reject_unknown_keys();
    return out;
}

request_class parse_class(toml_reader& in)
{
    request_class out;
    out.name = {in.name("name")};
    out.shed_order = static_cast<std::uint32_t>(in.number_or("shed_order", 0, 0, most_weight));
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
        static_cast<std::uint32_t>(in.number_or("partitions", out.partitions, 1, most_partitions));
    out.slices_per_server = static_cast<std::uint32_t>(
        in.number_or("slices_per_server", out.slices_per_server, 1, most_slices_per_server));
    out.default_deadline = in.time_or("default_deadline_ms", out.default_deadline, milliseconds{1},
                                      longest_allowed_deadline);
    out.longest_deadline = in.time_or("longest_deadline_ms", out.longest_deadline, milliseconds{1},
                                      longest_allowed_deadline);
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
    out.slots = static_cast<std::uint32_t>(in.number_or("slots", out.slots, 1, most_slots));
    out.connections = static_cast<std::uint32_t>(
        in.number_or("connections", out.connections, 1, most_connections));
    out.state = to_state(in.choice_or("state", "in", {"in", "out"}));
    in.reject_unknown_keys();
    return out;
}

/// Lines of the tables of each kind, in their order.
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

/// Faults that lie between tables: repeated names and references to names that do not exist.
class cross_check {
public:
    cross_check(const description& all_, const std::string& file_, const line_map& lines_,
                fault_list& faults_)
        : all{all_}, file{file_}, lines{lines_}, faults{faults_}
    {
    }

    void run()
    {
        this->unique("failure_domain", this->all.failure_domains);
        this->unique("tenant", this->all.tenants);
        this->unique("service", this->all.services);
        this->unique("backend_server", this->all.backend_servers);
        this->services();
        this->servers();
    }

private:
    /// A table in a list of the description, as faults name it.
    struct place {
        std::string path;
        unsigned line = 0;
    };

    template <class Item>
    place place_of(const std::string& kind, const std::vector<Item>& items, const Item& item) const
    {
        const auto index = static_cast<std::size_t>(&item - items.data());
        return {.path = kind + " '" + item.name.value + "'",
                .line = this->lines.at(kind).at(index)};
    }

    void add(const place& where, const std::string& key, std::string found, std::string allowed)
    {
        this->faults.push_back({.file = this->file,
                                .line = where.line,
                                .key = where.path + "." + key,
                                .found = std::move(found),
                                .allowed = std::move(allowed)});
    }

    template <class Item>
    void unique(const std::string& kind, const std::vector<Item>& items)
    {
        std::set<std::string> seen;
        for (const auto& item : items) {
            const bool repeated = !item.name.empty() && !seen.insert(item.name.value).second;
            if (repeated) {
                this->add(this->place_of(kind, items, item), "name", "the name for the second time",
                          "each name once");
            }
        }
    }

    void known(const place& where, const std::string& key, const std::string& name,
               const std::set<std::string>& names)
    {
        if (name.empty() || names.contains(name)) {
            return;
        }
        std::string allowed;
        for (const auto& one : names) {
            allowed += allowed.empty() ? one : " | " + one;
        }
        this->add(where, key, "'" + name + "'",
                  allowed.empty() ? "a name that is described" : allowed);
    }

    void services()
    {
        const auto tenants = names_of(this->all.tenants);
        for (const auto& one : this->all.services) {
            const auto where = this->place_of("service", this->all.services, one);
            this->known(where, "tenant", one.tenant.value, tenants);
            this->classes(where, one);
            this->pins(where, one);
        }
    }

    void classes(const place& where, const service& one)
    {
        std::set<class_id> seen;
        for (const auto& item : one.classes) {
            if (!seen.insert(item.name).second) {
                this->add(where, "class", "'" + item.name.value + "' twice", "each class once");
            }
        }
    }

    void pins(const place& where, const service& one)
    {
        std::set<std::string> seen;
        for (const auto& pin : one.pins) {
            const auto* server = find_server(this->all, pin.server);
            if (server == nullptr || server->service != one.name) {
                this->add(where, "pin", "'" + pin.server.value + "'",
                          "a backend server of service '" + one.name.value + "'");
            }
            if (!seen.insert(pin.key).second) {
                this->add(where, "pin", "key '" + pin.key + "' twice", "each key once");
            }
        }
    }

    void servers()
    {
        const auto services = names_of(this->all.services);
        const auto domains = names_of(this->all.failure_domains);
        std::map<std::string, std::string> addresses;
        for (const auto& one : this->all.backend_servers) {
            const auto where = this->place_of("backend_server", this->all.backend_servers, one);
            this->known(where, "service", one.service.value, services);
            this->known(where, "failure_domain", one.failure_domain.value, domains);
            const auto [taken, is_new] = addresses.emplace(one.address, one.name.value);
            if (!is_new && !one.address.empty()) {
                this->add(where, "address", "'" + one.address + "', as '" + taken->second + "'",
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
