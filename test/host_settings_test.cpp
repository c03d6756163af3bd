#include "figreach/host_settings.h"

#include "property.h"
#include "sample_description.h"

using namespace figreach;

namespace {

constexpr auto sample = R"(name = "h1"
failure_domain = "a"
caller_address = "127.0.0.1:7000"
forward_address = "127.0.0.1:7100"
peer_address = "127.0.0.1:7200"
operator_address = "127.0.0.1:7400"
admin_address = "127.0.0.1:7300"
store_address = "127.0.0.1:2379"
seeds = ["127.0.0.1:7200"]
operator_token = "0123456789abcdef"
)";

constexpr auto open_operators = "operator_address = \"10.0.0.1:7400\"";

struct fault_row {
    const char* from;
    const char* to;
    const char* faults;
};

const fault_row fault_rows[] = {
    {"", "", ""},
    {"name = \"h1\"", "name = \"h/1\"",
     "s:1: name: found 'h/1'; allowed: at most 64 letters, digits, '.', '_' and '-'\n"},
    {"127.0.0.1:7100", "127.0.0.1:7000",
     "s:4: forward_address: found '127.0.0.1:7000', as in caller_address; allowed: an address of "
     "its own\n"},
    {"127.0.0.1:7200\"\nop", "127.0.0.1:0\"\nop",
     "s:5: peer_address: found '127.0.0.1:0'; allowed: IP address and port, for example "
     "127.0.0.1:9000 or [::1]:9000\n"},
    {"[\"127.0.0.1:7200\"]", "[\"h2:7200\"]",
     "s:9: seeds: found 'h2:7200'; allowed: IP addresses with ports\n"},
    {"[\"127.0.0.1:7200\"]", "\"127.0.0.1:7200\"",
     "s:9: seeds: found '127.0.0.1:7200'; allowed: a list of strings\n"},
    {"0123456789abcdef", "short",
     "s:10: operator_token: found 5 characters; allowed: at least 16 characters\n"},
    {"operator_address = \"127.0.0.1:7400\"", open_operators,
     "s:6: operator_address: found '10.0.0.1:7400' without TLS; allowed: a loopback address, or "
     "tls_certificate and tls_key set, or allow_plaintext = true\n"},
    {"operator_address = \"127.0.0.1:7400\"",
     "operator_address = \"10.0.0.1:7400\"\nallow_plaintext = true", ""},
    {"operator_address = \"127.0.0.1:7400\"",
     "operator_address = \"10.0.0.1:7400\"\ntls_certificate = \"c\"\ntls_key = \"k\"", ""},
    {"127.0.0.1:7100", "10.0.0.1:7100",
     "s:4: forward_address: found '10.0.0.1:7100' without encryption; allowed: a loopback address, "
     "or allow_plaintext = true\n"},
    {"peer_address = \"127.0.0.1:7200\"", "peer_address = \"[fe80::1]:7200\"",
     "s:5: peer_address: found '[fe80::1]:7200' without encryption; allowed: a loopback address, "
     "or "
     "allow_plaintext = true\n"},
    {"operator_token = \"0123456789abcdef\"", "peer_public_key = \"p\"",
     "s:1: peer_secret_key: found nothing; allowed: a file, since the other of peer_public_key and "
     "peer_secret_key is set\n"},
    {"operator_token = \"0123456789abcdef\"", "peer_public_key = \"p\"\npeer_secret_key = \"s\"",
     ""},
    {"operator_token = \"0123456789abcdef\"", "tls_certificate = \"c\"",
     "s:1: tls_key: found nothing; allowed: a file, since the other of tls_certificate and tls_key "
     "is set\n"},
    {"operator_token = \"0123456789abcdef\"", "tls_client_ca = \"c\"",
     "s:10: tls_client_ca: found 'c' without tls_certificate; allowed: tls_certificate and tls_key "
     "set, or no tls_client_ca\n"},
    {"operator_token = \"0123456789abcdef\"", "drain_limit_ms = 0\nrequest_threads = 1.5",
     "s:11: request_threads: found 1.5; allowed: a whole number from 1 to 256\n"
     "s:10: drain_limit_ms: found 0; allowed: a whole number from 1 to 3600000\n"},
    {"operator_token = \"0123456789abcdef\"", "log_level = \"loud\"",
     "s:10: log_level: found 'loud'; allowed: debug | info | warn | error | off\n"},
};

} // namespace

TEST_GROUP(host_settings_test){};

TEST(host_settings_test, names_every_fault_with_place_and_remedy)
{
    for (const auto& row : fault_rows) {
        const auto parsed = parse_host_settings(with(sample, row.from, row.to), "s");
        STRCMP_EQUAL_TEXT(row.faults, to_text(parsed.faults).c_str(), row.to);
    }
}

TEST(host_settings_test, an_open_listener_without_proof_of_identity_is_a_fault)
{
    const auto text = with(with(sample, "operator_address = \"127.0.0.1:7400\"", open_operators),
                           "operator_token = \"0123456789abcdef\"", "allow_plaintext = true");
    STRCMP_EQUAL("s:6: operator_address: found '10.0.0.1:7400' without operator_token or "
                 "tls_client_ca; allowed: a loopback address, or one of them set\n",
                 to_text(parse_host_settings(text, "s").faults).c_str());
}

TEST(host_settings_test, unknown_and_missing_keys_are_faults)
{
    const auto faults = parse_host_settings("nmae = \"h1\"", "s").faults;
    LONGS_EQUAL(9, faults.size());
    STRCMP_EQUAL("nmae", faults.back().key.c_str());
    STRCMP_EQUAL("an unknown key", faults.back().found.c_str());
}
