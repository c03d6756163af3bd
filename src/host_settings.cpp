#include "figreach/host_settings.h"

#include "figreach/toml_reader.h"

namespace figreach {

namespace {

constexpr std::int64_t most_threads = 256;
constexpr milliseconds longest_grace = std::chrono::minutes{10};
constexpr milliseconds longest_drain = std::chrono::hours{1};

std::vector<std::string> parse_seeds(toml_reader& in)
{
    auto seeds = in.texts_or("seeds", {});
    for (const auto& seed : seeds) {
        if (!is_address(seed)) {
            in.add_fault("seeds", "'" + seed + "'", "IP numbers with ports");
        }
    }
    return seeds;
}

} // namespace

parsed_host_settings parse_host_settings(std::string_view toml, const std::string& file)
{
    parsed_host_settings out;
    toml::table root;
    try {
        root = toml::parse(toml, file);
    }
    catch (const toml::parse_error& error) {
        out.faults.push_back({.file = file,
                              .line = error.source().begin.line,
                              .key = "(syntax)",
                              .found = std::string{error.description()},
                              .allowed = "well-formed TOML"});
        return out;
    }
    toml_reader in{root, "", file, out.faults};
    auto& value = out.value;
    value.name = {in.text("name")};
    value.failure_domain = {in.text("failure_domain")};
    value.caller_address = in.address("caller_address");
    value.forward_address = in.address("forward_address");
    value.peer_address = in.address("peer_address");
    value.operator_address = in.address("operator_address");
    value.admin_address = in.address("admin_address");
    value.seeds = parse_seeds(in);
    value.store_address = in.address("store_address");
    value.request_threads = static_cast<std::uint32_t>(
        in.number_or("request_threads", value.request_threads, 1, most_threads));
    value.log_level =
        in.word_or("log_level", value.log_level, {"debug", "info", "warn", "error", "off"});
    value.log_file = in.text_or("log_file", "");
    value.operator_token = in.text_or("operator_token", "");
    value.balancer_grace =
        in.time_or("balancer_grace_ms", value.balancer_grace, milliseconds{0}, longest_grace);
    value.drain_limit =
        in.time_or("drain_limit_ms", value.drain_limit, milliseconds{1}, longest_drain);
    in.reject_unknown_keys();
    return out;
}

} // namespace figreach
