#include "figreach/toml_reader.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <optional>
#include <sstream>
#include <utility>

#include <boost/asio/ip/address.hpp>

namespace figreach {

namespace {

std::string format_node(const toml::node& node)
{
    std::ostringstream out;
    out << toml::node_view<const toml::node>{node};
    return out.str();
}

std::string join(const std::vector<std::string>& words)
{
    std::string out;
    for (const auto& word : words) {
        out += out.empty() ? word : " | " + word;
    }
    return out;
}

bool is_port(std::string_view text)
{
    constexpr unsigned highest_port = 65535;
    unsigned port = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), port);
    const bool whole = end == text.data() + text.size();
    return error == std::errc{} && whole && port != 0 && port <= highest_port;
}

/// Parses an IP address with a port and returns the IP address. Empty if it is not well-formed.
std::optional<boost::asio::ip::address> parse_address(std::string_view address)
{
    const auto colon = address.rfind(':');
    if (colon == std::string_view::npos || !is_port(address.substr(colon + 1))) {
        return std::nullopt;
    }
    auto host = address.substr(0, colon);
    const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed) {
        host = host.substr(1, host.size() - 2);
    }
    boost::system::error_code failed;
    const auto ip_address = boost::asio::ip::make_address(std::string{host}, failed);
    return !failed && ip_address.is_v6() == bracketed ? std::optional{ip_address} : std::nullopt;
}

constexpr std::size_t max_name_length = 64;
constexpr auto name_format = "at most 64 letters, digits, '.', '_' and '-'";

bool is_name(std::string_view text)
{
    const auto allowed = [](unsigned char byte) {
        return std::isalnum(byte) != 0 || byte == '.' || byte == '_' || byte == '-';
    };
    return text.size() <= max_name_length && std::ranges::all_of(text, allowed);
}

constexpr auto address_format = "IP address and port, for example 127.0.0.1:9000 or [::1]:9000";

} // namespace

std::optional<toml::table> parse_toml(std::string_view toml, const std::string& file,
                                      fault_list& faults)
{
    try {
        return toml::parse(toml, file);
    }
    catch (const toml::parse_error& error) {
        faults.push_back({.file = file,
                          .line = error.source().begin.line,
                          .key = "(syntax)",
                          .found = std::string{error.description()},
                          .allowed = "well-formed TOML"});
        return std::nullopt;
    }
}

bool is_address(std::string_view text)
{
    return parse_address(text).has_value();
}

bool is_loopback(std::string_view address)
{
    const auto ip_address = parse_address(address);
    return ip_address && ip_address->is_loopback();
}

toml_reader::toml_reader(const toml::table& table_, std::string path_, std::string file_,
                         fault_list& faults_)
    : table{&table_}, path{std::move(path_)}, file{std::move(file_)}, faults{&faults_}
{
}

const toml::node* toml_reader::find(std::string_view key)
{
    this->known_keys.emplace_back(key);
    return this->table->get(key);
}

unsigned toml_reader::line() const
{
    return this->table->source().begin.line;
}

unsigned toml_reader::line_of(std::string_view key) const
{
    const auto* node = this->table->get(key);
    const auto& source = node == nullptr ? this->table->source() : node->source();
    return source.begin.line;
}

void toml_reader::add_fault(std::string_view key, std::string found, std::string allowed)
{
    const auto prefix = this->path.empty() ? std::string{} : this->path + ".";
    this->faults->push_back({.file = this->file,
                             .line = this->line_of(key),
                             .key = prefix + std::string{key},
                             .found = std::move(found),
                             .allowed = std::move(allowed)});
}

std::string toml_reader::text(std::string_view key)
{
    const auto* node = this->find(key);
    if (node == nullptr) {
        this->add_fault(key, "nothing", "a string");
        return {};
    }
    const auto value = node->value_exact<std::string>();
    if (!value || value->empty()) {
        this->add_fault(key, format_node(*node), "a non-empty string");
        return {};
    }
    return *value;
}

std::string toml_reader::name(std::string_view key)
{
    const auto before = this->faults->size();
    auto value = this->text(key);
    if (this->faults->size() == before && !is_name(value)) {
        this->add_fault(key, "'" + value + "'", name_format);
    }
    return value;
}

std::string toml_reader::text_or(std::string_view key, std::string_view fallback)
{
    if (!this->table->contains(key)) {
        this->known_keys.emplace_back(key);
        return std::string{fallback};
    }
    return this->text(key);
}

std::vector<std::string> toml_reader::texts_or(std::string_view key,
                                               std::vector<std::string> fallback)
{
    const auto* node = this->find(key);
    if (node == nullptr) {
        return fallback;
    }
    const auto* array = node->as_array();
    const bool is_list =
        array != nullptr && (array->empty() || array->is_homogeneous(toml::node_type::string));
    if (!is_list) {
        this->add_fault(key, format_node(*node), "a list of strings");
        return fallback;
    }
    std::vector<std::string> texts;
    for (const auto& item : *array) {
        texts.push_back(item.value_or(std::string{}));
    }
    return texts;
}

std::int64_t toml_reader::number_or(std::string_view key, std::int64_t fallback, std::int64_t least,
                                    std::int64_t most)
{
    const auto* node = this->find(key);
    if (node == nullptr) {
        return fallback;
    }
    const auto value = node->value_exact<std::int64_t>();
    if (!value || *value < least || *value > most) {
        this->add_fault(key, format_node(*node),
                        "a whole number from " + std::to_string(least) + " to " +
                            std::to_string(most));
        return fallback;
    }
    return *value;
}

milliseconds toml_reader::time_or(std::string_view key, milliseconds fallback, milliseconds least,
                                  milliseconds most)
{
    return milliseconds{this->number_or(key, fallback.count(), least.count(), most.count())};
}

double toml_reader::fraction_or(std::string_view key, double fallback, double least, double most)
{
    const auto* node = this->find(key);
    if (node == nullptr) {
        return fallback;
    }
    const auto value = node->is_number() ? node->value<double>() : std::nullopt;
    if (!value || !(*value >= least && *value <= most)) {
        std::ostringstream allowed;
        allowed << "a number from " << least << " to " << most;
        this->add_fault(key, format_node(*node), allowed.str());
        return fallback;
    }
    return *value;
}

milliseconds toml_reader::seconds_or(std::string_view key, milliseconds fallback,
                                     milliseconds least, milliseconds most)
{
    using in_seconds = std::chrono::duration<double>;
    const auto count = this->fraction_or(key, in_seconds{fallback}.count(),
                                         in_seconds{least}.count(), in_seconds{most}.count());
    return std::chrono::round<milliseconds>(in_seconds{count});
}

bool toml_reader::flag_or(std::string_view key, bool fallback)
{
    const auto* node = this->find(key);
    if (node == nullptr) {
        return fallback;
    }
    const auto value = node->value_exact<bool>();
    if (!value) {
        this->add_fault(key, format_node(*node), "true | false");
        return fallback;
    }
    return *value;
}

std::string toml_reader::choice_or(std::string_view key, std::string_view fallback,
                                   const std::vector<std::string>& allowed)
{
    const auto* node = this->find(key);
    if (node == nullptr) {
        if (fallback.empty()) {
            this->add_fault(key, "nothing", join(allowed));
        }
        return std::string{fallback};
    }
    const auto value = node->value_exact<std::string>();
    if (!value || std::ranges::find(allowed, *value) == allowed.end()) {
        this->add_fault(key, format_node(*node), join(allowed));
        return std::string{fallback};
    }
    return *value;
}

std::string toml_reader::address(std::string_view key)
{
    const auto before = this->faults->size();
    auto value = this->text(key);
    if (this->faults->size() == before && !is_address(value)) {
        this->add_fault(key, "'" + value + "'", address_format);
    }
    return value;
}

std::string toml_reader::address_or(std::string_view key, std::string_view fallback)
{
    if (!this->table->contains(key)) {
        this->known_keys.emplace_back(key);
        return std::string{fallback};
    }
    return this->address(key);
}

std::vector<toml_reader> toml_reader::tables(std::string_view key)
{
    const auto* node = this->find(key);
    if (node == nullptr) {
        return {};
    }
    const auto* array = node->as_array();
    if (array == nullptr || !array->is_homogeneous(toml::node_type::table)) {
        this->add_fault(key, format_node(*node), "a list of tables");
        return {};
    }
    std::vector<toml_reader> readers;
    std::size_t index = 0;
    for (const auto& item : *array) {
        const auto prefix = this->path.empty() ? std::string{} : this->path + ".";
        readers.emplace_back(*item.as_table(),
                             prefix + std::string{key} + "[" + std::to_string(index) + "]",
                             this->file, *this->faults);
        ++index;
    }
    return readers;
}

void toml_reader::reject_unknown_keys()
{
    for (const auto& [key, node] : *this->table) {
        const bool asked_for =
            std::ranges::find(this->known_keys, key.str()) != this->known_keys.end();
        if (!asked_for) {
            this->add_fault(key.str(), "an unknown key", join(this->known_keys));
        }
    }
}

} // namespace figreach
