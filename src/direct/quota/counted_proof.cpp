#include "figreach/direct/quota/counted_proof.h"

#include <array>
#include <cstdint>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

namespace figreach::direct {

namespace {

constexpr std::size_t secret_bytes = 32;

std::string to_hexadecimal(const unsigned char* bytes, std::size_t count)
{
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr unsigned half = 4;
    constexpr unsigned low = 0xf;
    std::string out;
    for (std::size_t i = 0; i < count; ++i) {
        out += digits[bytes[i] >> half];
        out += digits[bytes[i] & low];
    }
    return out;
}

} // namespace

host_secret make_host_secret()
{
    std::array<unsigned char, secret_bytes> bytes{};
    // Without random bytes the host has no secret and its requests are counted again elsewhere.
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
        return {};
    }
    return {std::string{bytes.begin(), bytes.end()}};
}

std::string counted_proof(std::string_view secret, const host_id& sender,
                          std::string_view request_id)
{
    if (secret.empty()) {
        return {};
    }
    // A NUL cannot be part of either, so no other pair gives the same text.
    std::string text{request_id};
    text += '\0';
    text += sender.value;
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned size = 0;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
         reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data(), &size);
    return to_hexadecimal(digest.data(), size);
}

bool is_counted_proof(std::string_view proof, std::string_view secret, const host_id& sender,
                      std::string_view request_id)
{
    const auto expected = counted_proof(secret, sender, request_id);
    return !expected.empty() && proof.size() == expected.size() &&
           CRYPTO_memcmp(proof.data(), expected.data(), expected.size()) == 0;
}

} // namespace figreach::direct
