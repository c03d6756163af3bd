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

/// Reads one TOML table, collects every fault, and reports the keys that nobody asked for.
class toml_reader {
public:
    /// `path` is the dotted path of the table, used in faults. `faults` must outlive the reader.
    toml_reader(const toml::table& table, std::string path, std::string file, fault_list& faults);

    [[nodiscard]] std::string text(std::string_view key);
    /// A text of letters, digits, '.', '_' and '-', so that it may stand in keys and headers.
    [[nodiscard]] std::string name(std::string_view key);
    [[nodiscard]] std::string text_or(std::string_view key, std::string_view fallback);
    [[nodiscard]] std::vector<std::string> texts_or(std::string_view key,
                                                    std::vector<std::string> fallback);
    [[nodiscard]] std::int64_t number_or(std::string_view key, std::int64_t fallback,
                                         std::int64_t least, std::int64_t most);
    [[nodiscard]] milliseconds time_or(std::string_view key, milliseconds fallback,
                                       milliseconds least, milliseconds most);
    /// A number with or without fractions.
    [[nodiscard]] double fraction_or(std::string_view key, double fallback, double least,
                                     double most);
    /// A time in seconds, with or without fractions.
    [[nodiscard]] milliseconds seconds_or(std::string_view key, milliseconds fallback,
                                          milliseconds least, milliseconds most);
    [[nodiscard]] bool flag_or(std::string_view key, bool fallback);
    /// One of the given words; `fallback` (may be empty: required) when the key is absent.
    [[nodiscard]] std::string choice_or(std::string_view key, std::string_view fallback,
                                        const std::vector<std::string>& allowed);
    /// IP number and port; a fault when it is anything else.
    [[nodiscard]] std::string address(std::string_view key);
    [[nodiscard]] std::string address_or(std::string_view key, std::string_view fallback);
    /// Readers of the tables in an array of tables; empty when the key is absent.
    [[nodiscard]] std::vector<toml_reader> tables(std::string_view key);

    /// Line where the table begins.
    [[nodiscard]] unsigned line() const;

    void add_fault(std::string_view key, std::string found, std::string allowed);
    /// Reports each key of the table that was not read.
    void reject_unknown_keys();

private:
    const toml::node* find(std::string_view key);
    [[nodiscard]] unsigned line_of(std::string_view key) const;

    const toml::table* table;
    std::string path;
    std::string file;
    fault_list* faults;
    std::vector<std::string> known;
};

/// Parses TOML; empty with a fault when it is not well-formed.
[[nodiscard]] std::optional<toml::table> parse_toml(std::string_view toml, const std::string& file,
                                                    fault_list& faults);

/// Whether a text is an IPv4 or bracketed IPv6 number with a port from 1 to 65535.
[[nodiscard]] bool is_address(std::string_view text);

/// Whether a well-formed address is reachable from its own machine only.
[[nodiscard]] bool is_loopback(std::string_view address);

} // namespace figreach
