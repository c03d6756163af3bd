#include "figreach/grant_codec.h"

#include <charconv>

#include <boost/json.hpp>

namespace figreach {

namespace {

namespace json = boost::json;

constexpr int hexadecimal = 16;

/// Hashes are encoded as hexadecimal text, since many JSON implementations lose the low bits of
/// 64-bit numbers.
std::string to_hex(key_hash hash)
{
    constexpr std::size_t digits = sizeof(key_hash) * 2;
    std::string out(digits, '0');
    char raw[digits];
    const auto end = std::to_chars(raw, raw + digits, hash, hexadecimal).ptr;
    const auto used = static_cast<std::size_t>(end - raw);
    out.replace(digits - used, used, raw, used);
    return out;
}

key_hash from_hex(const json::value& value)
{
    const auto& text = value.as_string();
    key_hash out = 0;
    const auto* end = text.data() + text.size();
    const auto [stop, failed] = std::from_chars(text.data(), end, out, hexadecimal);
    if (failed != std::errc{} || stop != end) {
        throw std::invalid_argument{"not a hexadecimal hash"};
    }
    return out;
}

template <class Number>
Number number(const json::object& in, std::string_view key)
{
    return in.at(key).to_number<Number>();
}

template <class Parse>
auto parse_json(std::string_view text, Parse parse) -> std::optional<decltype(parse({}))>
{
    try {
        return parse(json::parse({text.data(), text.size()}).as_object());
    }
    catch (const std::exception&) {
        return std::nullopt;
    }
}

} // namespace

std::string to_json(const grant& value)
{
    json::array slices;
    for (const auto& one : value.slices) {
        slices.push_back(json::object{
            {"first", to_hex(one.first)}, {"last", to_hex(one.last)}, {"fence", one.fence}});
    }
    return json::serialize(json::object{{"coordinator", value.coordinator.value},
                                        {"term", value.term},
                                        {"sequence", value.sequence},
                                        {"after", value.after},
                                        {"duration_ms", value.duration.count()},
                                        {"slices", std::move(slices)}});
}

std::string to_json(const grant_answer& value)
{
    return json::serialize(json::object{{"accepted", value.accepted},
                                        {"sequence", value.sequence},
                                        {"term", value.term},
                                        {"incarnation", value.incarnation},
                                        {"in_flight", value.in_flight},
                                        {"cold", value.cold},
                                        {"leaving", value.leaving}});
}

std::optional<grant> parse_grant(std::string_view text)
{
    return parse_json(text, [](const json::object& in) {
        grant out;
        out.coordinator = {std::string{in.at("coordinator").as_string()}};
        out.term = number<std::uint64_t>(in, "term");
        out.sequence = number<std::uint64_t>(in, "sequence");
        out.after = number<std::uint64_t>(in, "after");
        out.duration = milliseconds{number<std::int64_t>(in, "duration_ms")};
        for (const auto& item : in.at("slices").as_array()) {
            const auto& one = item.as_object();
            out.slices.push_back({.first = from_hex(one.at("first")),
                                  .last = from_hex(one.at("last")),
                                  .fence = number<std::uint64_t>(one, "fence")});
        }
        return out;
    });
}

std::optional<grant_answer> parse_grant_answer(std::string_view text)
{
    return parse_json(text, [](const json::object& in) {
        return grant_answer{.accepted = in.at("accepted").as_bool(),
                            .sequence = number<std::uint64_t>(in, "sequence"),
                            .term = number<std::uint64_t>(in, "term"),
                            .incarnation = number<std::uint64_t>(in, "incarnation"),
                            .in_flight = number<std::uint32_t>(in, "in_flight"),
                            .cold = in.at("cold").as_bool(),
                            .leaving = in.at("leaving").as_bool()};
    });
}

} // namespace figreach
