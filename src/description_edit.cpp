#include "figreach/description_edit.h"

#include <toml++/toml.h>

namespace figreach {

namespace {

bool is_continuation_byte(char byte)
{
    constexpr unsigned char high_bits = 0xc0;
    constexpr unsigned char continuation = 0x80;
    return (static_cast<unsigned char>(byte) & high_bits) == continuation;
}

/// Byte offset of a source position. Columns count code points from 1.
std::size_t offset_of(std::string_view text, const toml::source_position& position)
{
    std::size_t offset = 0;
    for (toml::source_index line = 1; line < position.line; ++line) {
        offset = text.find('\n', offset) + 1;
    }
    for (toml::source_index column = 1; column < position.column; ++column) {
        ++offset;
        while (offset < text.size() && is_continuation_byte(text[offset])) {
            ++offset;
        }
    }
    return offset;
}

const toml::table* find_item(const toml::table& root, std::string_view list,
                             const std::string& name)
{
    const auto* items = root[list].as_array();
    if (items == nullptr) {
        return nullptr;
    }
    for (const auto& item : *items) {
        const auto* table = item.as_table();
        if (table != nullptr && (*table)["name"].value_or(std::string{}) == name) {
            return table;
        }
    }
    return nullptr;
}

std::string replace_state(std::string_view toml, const toml::source_region& where,
                          const std::string& word)
{
    const auto begin = offset_of(toml, where.begin);
    const auto end = offset_of(toml, where.end);
    return std::string{toml.substr(0, begin)} + word + std::string{toml.substr(end)};
}

std::string insert_state(std::string_view toml, const toml::table& item, const std::string& word)
{
    auto end = offset_of(toml, item.get("name")->source().end);
    std::string addition = ", state = " + word;
    if (!item.is_inline()) {
        end = std::min(toml.find('\n', end), toml.size());
        addition = "\nstate = " + word;
    }
    return std::string{toml.substr(0, end)} + addition + std::string{toml.substr(end)};
}

bool has_state(std::string_view toml, std::string_view list, const std::string& name,
               std::string_view word)
{
    const auto root = toml::parse(toml);
    const auto* item = find_item(root, list, name);
    return item != nullptr && (*item)["state"].value_or(std::string{}) == word;
}

} // namespace

std::optional<std::string> with_state(std::string_view toml, std::string_view list,
                                      const std::string& name, service_state state)
{
    const std::string word = state == service_state::in ? "in" : "out";
    const auto quoted = '"' + word + '"';
    try {
        const auto root = toml::parse(toml);
        const auto* item = find_item(root, list, name);
        if (item == nullptr) {
            return std::nullopt;
        }
        const auto* present = item->get("state");
        auto out = present != nullptr ? replace_state(toml, present->source(), quoted)
                                      : insert_state(toml, *item, quoted);
        return has_state(out, list, name, word) ? std::optional{std::move(out)} : std::nullopt;
    }
    catch (const toml::parse_error&) {
        return std::nullopt;
    }
}

} // namespace figreach
