#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <toml++/toml.h>

#include "figreach/fault.h"
#include "figreach/time.h"

namespace figreach {

/// Reads one TOML table, collects all faults and reports unknown keys.
class toml_reader {
public:
    /// `path` is the dotted path of the table and is used in faults. `faults` must outlive the
    /// reader.
    toml_reader(const toml::table& table, std::string path, std::string file, fault_list& faults);

    /// A required string that is not empty.
    [[nodiscard]] std::string text(std::string_view key);
    /// A required string of letters, digits, '.', '_' and '-', which is safe in keys and headers.
    [[nodiscard]] std::string name(std::string_view key);
    [[nodiscard]] std::string text_or(std::string_view key, std::string_view fallback);
    [[nodiscard]] std::vector<std::string> texts_or(std::string_view key,
                                                    std::vector<std::string> fallback);
    [[nodiscard]] std::int64_t number_or(std::string_view key, std::int64_t fallback,
                                         std::int64_t least, std::int64_t most);
    [[nodiscard]] milliseconds time_or(std::string_view key, milliseconds fallback,
                                       milliseconds least, milliseconds most);
    /// An integer or floating-point number.
    [[nodiscard]] double fraction_or(std::string_view key, double fallback, double least,
                                     double most);
    /// A time in seconds, as an integer or floating-point number.
    [[nodiscard]] milliseconds seconds_or(std::string_view key, milliseconds fallback,
                                          milliseconds least, milliseconds most);
    [[nodiscard]] bool flag_or(std::string_view key, bool fallback);
    /// One of the given strings. If the key is absent, returns `fallback`; an empty `fallback`
    /// makes the key required.
    [[nodiscard]] std::string choice_or(std::string_view key, std::string_view fallback,
                                        const std::vector<std::string>& allowed);
    /// A required IP address with a port.
    [[nodiscard]] std::string address(std::string_view key);
    [[nodiscard]] std::string address_or(std::string_view key, std::string_view fallback);
    /// Readers for the elements of an array of tables. Empty if the key is absent.
    [[nodiscard]] std::vector<toml_reader> tables(std::string_view key);

    /// The line where the table begins.
    [[nodiscard]] unsigned line() const;

    void add_fault(std::string_view key, std::string found, std::string allowed);
    /// Adds a fault for each key of the table that was not read.
    void reject_unknown_keys();

private:
    const toml::node* find(std::string_view key);
    [[nodiscard]] unsigned line_of(std::string_view key) const;

    const toml::table* table;
    std::string path;
    std::string file;
    fault_list* faults;
    std::vector<std::string> known_keys;
};

/// Parses TOML. If it is not well-formed, adds a fault and returns an empty value.
[[nodiscard]] std::optional<toml::table> parse_toml(std::string_view toml, const std::string& file,
                                                    fault_list& faults);

/// Whether a string is an IPv4 address or a bracketed IPv6 address with a port from 1 to 65535.
[[nodiscard]] bool is_address(std::string_view text);

/// Whether a string is a well-formed loopback address with a port.
[[nodiscard]] bool is_loopback(std::string_view address);

} // namespace figreach
