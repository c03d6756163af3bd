#include "figreach/description_diff.h"

#include <initializer_list>
#include <map>
#include <string_view>

namespace figreach {

namespace {

/// Formatted fields of one item, by name.
using field_map = std::map<std::string, std::string>;
/// Items of one kind by name.
using item_map = std::map<std::string, field_map>;

std::string concat(std::initializer_list<std::string_view> parts)
{
    std::string out;
    for (const auto part : parts) {
        out += part;
    }
    return out;
}

std::string to_text(bool value)
{
    return value ? "true" : "false";
}

std::string to_text(service_state state)
{
    return state == service_state::in ? "in" : "out";
}

std::string to_text(milliseconds time)
{
    return std::to_string(time.count()) + " ms";
}

std::string to_text(const std::vector<std::string>& words)
{
    std::string out;
    for (const auto& word : words) {
        out += out.empty() ? word : " " + word;
    }
    return out;
}

field_map fields_of(const failure_domain& one)
{
    return {{"region", one.region.value}, {"state", to_text(one.state)}};
}

field_map fields_of(const tenant& one)
{
    return {{"weight", std::to_string(one.weight)}};
}

field_map fields_of(const service& one)
{
    field_map out{{"tenant", one.tenant.value},
                  {"divided_by_key", to_text(one.divided_by_key)},
                  {"checks_fences", to_text(one.checks_fences)},
                  {"partitions", std::to_string(one.partitions)},
                  {"slices_per_server", std::to_string(one.slices_per_server)},
                  {"default_deadline_ms", to_text(one.default_deadline)},
                  {"longest_deadline_ms", to_text(one.longest_deadline)},
                  {"idempotent_methods", to_text(one.idempotent_methods)}};
    for (const auto& item : one.classes) {
        out["class '" + item.name.value + "'.shed_order"] = std::to_string(item.shed_order);
    }
    for (const auto& pin : one.pins) {
        out["pin '" + pin.key + "'.server"] = pin.server.value;
    }
    return out;
}

field_map fields_of(const backend_server& one)
{
    return {{"service", one.service.value},
            {"failure_domain", one.failure_domain.value},
            {"address", one.address},
            {"slots", std::to_string(one.slots)},
            {"connections", std::to_string(one.connections)},
            {"state", to_text(one.state)}};
}

template <class Item>
item_map items_of(const std::vector<Item>& items)
{
    item_map out;
    for (const auto& item : items) {
        out[item.name.value] = fields_of(item);
    }
    return out;
}

void compare_fields(const std::string& item, const field_map& before, const field_map& after,
                    std::vector<std::string>& out)
{
    const auto value_in = [](const field_map& fields, const std::string& name) {
        const auto found = fields.find(name);
        return found == fields.end() ? std::string{"(absent)"} : found->second;
    };
    auto names = before;
    names.insert(after.begin(), after.end());
    for (const auto& [name, unused] : names) {
        const auto old_value = value_in(before, name);
        const auto new_value = value_in(after, name);
        if (old_value != new_value) {
            out.push_back(concat({item, ".", name, ": ", old_value, " -> ", new_value}));
        }
    }
}

template <class Item>
void compare_items(const std::string& kind, const std::vector<Item>& before,
                   const std::vector<Item>& after, std::vector<std::string>& out)
{
    const auto old_items = items_of(before);
    const auto new_items = items_of(after);
    for (const auto& [name, fields] : old_items) {
        const auto path = concat({kind, " '", name, "'"});
        const auto found = new_items.find(name);
        if (found == new_items.end()) {
            out.push_back(path + " removed");
            continue;
        }
        compare_fields(path, fields, found->second, out);
    }
    for (const auto& [name, fields] : new_items) {
        if (!old_items.contains(name)) {
            out.push_back(concat({kind, " '", name, "' added"}));
        }
    }
}

} // namespace

std::vector<std::string> description_diff(const description& before, const description& after)
{
    std::vector<std::string> out;
    compare_items("failure_domain", before.failure_domains, after.failure_domains, out);
    compare_items("tenant", before.tenants, after.tenants, out);
    compare_items("service", before.services, after.services, out);
    compare_items("backend_server", before.backend_servers, after.backend_servers, out);
    return out;
}

} // namespace figreach
