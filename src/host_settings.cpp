#include "figreach/host_settings.h"

#include <map>
#include <utility>

#include "figreach/toml_reader.h"

namespace figreach {

namespace {

constexpr std::size_t min_token_length = 16;
constexpr std::int64_t max_threads = 256;
constexpr milliseconds max_balancer_grace = std::chrono::minutes{10};
constexpr milliseconds max_drain_limit = std::chrono::hours{1};

std::vector<std::string> parse_seeds(toml_reader& in)
{
    auto seeds = in.texts_or("seeds", {});
    for (const auto& seed : seeds) {
        if (!is_address(seed)) {
            in.add_fault("seeds", "'" + seed + "'", "IP addresses with ports");
        }
    }
    return seeds;
}

void check_distinct(toml_reader& in, const host_settings& value)
{
    std::map<std::string, std::string> taken;
    const std::pair<const char*, const std::string*> listeners[] = {
        {"caller_address", &value.caller_address}, {"forward_address", &value.forward_address},
        {"peer_address", &value.peer_address},     {"operator_address", &value.operator_address},
        {"admin_address", &value.admin_address},
    };
    for (const auto& [key, address] : listeners) {
        const auto [other, is_new] = taken.emplace(*address, key);
        if (!is_new && !address->empty()) {
            in.add_fault(key, "'" + *address + "', as in " + other->second,
                         "an address of its own");
        }
    }
}

/// Forwarded requests are always plaintext; messages between entry hosts are plaintext without
/// keys.
void check_plaintext(toml_reader& in, const host_settings& value)
{
    struct listener {
        const char* key;
        const std::string& address;
        bool encrypted;
    };
    const listener listeners[] = {
        {"forward_address", value.forward_address, false},
        {"peer_address", value.peer_address, !value.peer_public_key.empty()},
    };
    for (const auto& one : listeners) {
        const bool exposed = is_address(one.address) && !is_loopback(one.address);
        if (exposed && !one.encrypted && !value.allow_plaintext) {
            in.add_fault(one.key, "'" + one.address + "' without encryption",
                         "a loopback address, or allow_plaintext = true");
        }
    }
}

void check_peer_keys(toml_reader& in, const host_settings& value)
{
    const bool has_public = !value.peer_public_key.empty();
    if (has_public != !value.peer_secret_key.empty()) {
        in.add_fault(has_public ? "peer_secret_key" : "peer_public_key", "nothing",
                     "a file, since the other of peer_public_key and peer_secret_key is set");
    }
}

void check_operators(toml_reader& in, const host_settings& value)
{
    const bool has_certificate = !value.tls_certificate.empty();
    if (has_certificate != !value.tls_key.empty()) {
        in.add_fault(has_certificate ? "tls_key" : "tls_certificate", "nothing",
                     "a file, since the other of tls_certificate and tls_key is set");
    }
    if (!value.tls_client_ca.empty() && !has_certificate) {
        in.add_fault("tls_client_ca", "'" + value.tls_client_ca + "' without tls_certificate",
                     "tls_certificate and tls_key set, or no tls_client_ca");
    }
    if (!value.operator_token.empty() && value.operator_token.size() < min_token_length) {
        in.add_fault("operator_token", std::to_string(value.operator_token.size()) + " characters",
                     "at least " + std::to_string(min_token_length) + " characters");
    }
    if (!is_address(value.operator_address) || is_loopback(value.operator_address)) {
        return;
    }
    if (!has_certificate && !value.allow_plaintext) {
        in.add_fault("operator_address", "'" + value.operator_address + "' without TLS",
                     "a loopback address, or tls_certificate and tls_key set, or "
                     "allow_plaintext = true");
    }
    if (value.operator_token.empty() && value.tls_client_ca.empty()) {
        in.add_fault("operator_address",
                     "'" + value.operator_address + "' without operator_token or tls_client_ca",
                     "a loopback address, or one of them set");
    }
}

} // namespace

parsed_host_settings parse_host_settings(std::string_view toml, const std::string& file)
{
    parsed_host_settings out;
    const auto root = parse_toml(toml, file, out.faults);
    if (!root) {
        return out;
    }
    toml_reader in{*root, "", file, out.faults};
    auto& value = out.value;
    value.name = {in.name("name")};
    value.failure_domain = {in.name("failure_domain")};
    value.caller_address = in.address("caller_address");
    value.forward_address = in.address("forward_address");
    value.peer_address = in.address("peer_address");
    value.operator_address = in.address("operator_address");
    value.admin_address = in.address("admin_address");
    value.seeds = parse_seeds(in);
    value.store_address = in.address("store_address");
    value.request_threads = static_cast<std::uint32_t>(
        in.number_or("request_threads", value.request_threads, 1, max_threads));
    value.log_level =
        in.choice_or("log_level", value.log_level, {"debug", "info", "warn", "error", "off"});
    value.log_file = in.text_or("log_file", "");
    value.operator_token = in.text_or("operator_token", "");
    value.tls_certificate = in.text_or("tls_certificate", "");
    value.tls_key = in.text_or("tls_key", "");
    value.tls_client_ca = in.text_or("tls_client_ca", "");
    value.peer_public_key = in.text_or("peer_public_key", "");
    value.peer_secret_key = in.text_or("peer_secret_key", "");
    value.allow_plaintext = in.flag_or("allow_plaintext", value.allow_plaintext);
    value.balancer_grace =
        in.time_or("balancer_grace_ms", value.balancer_grace, milliseconds{0}, max_balancer_grace);
    value.drain_limit =
        in.time_or("drain_limit_ms", value.drain_limit, milliseconds{1}, max_drain_limit);
    in.reject_unknown_keys();
    check_distinct(in, value);
    check_plaintext(in, value);
    check_peer_keys(in, value);
    check_operators(in, value);
    return out;
}

} // namespace figreach
