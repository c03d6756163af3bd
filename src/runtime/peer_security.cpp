#include "figreach/runtime/peer_security.h"

#include <fstream>
#include <stdexcept>

#include "figreach/runtime/connection_pool.h"

namespace figreach {

namespace {

constexpr std::size_t key_length = 40;

std::string read_key_file(const std::string& file)
{
    std::ifstream in{file};
    std::string key;
    if (!std::getline(in, key)) {
        throw std::runtime_error{"the peer key file '" + file + "' cannot be read"};
    }
    if (key.size() != key_length) {
        throw std::runtime_error{"the peer key file '" + file +
                                 "' does not hold a key of 40 characters"};
    }
    return key;
}

} // namespace

peer_security read_peer_security(const std::string& public_key_file,
                                 const std::string& secret_key_file)
{
    if (public_key_file.empty() && secret_key_file.empty()) {
        return {};
    }
    return {.public_key = read_key_file(public_key_file),
            .secret_key = read_key_file(secret_key_file),
            .allow_plaintext = false};
}

std::string defect_of(const peer_security& security, const std::string& address)
{
    if (security.encrypted() != !security.secret_key.empty()) {
        return "one peer key is given without the other";
    }
    const bool loopback = to_endpoint(address).address().is_loopback();
    if (!security.encrypted() && !security.allow_plaintext && !loopback) {
        return "messages between hosts are not protected: listen at a loopback address, name peer "
               "keys, or allow plaintext";
    }
    return {};
}

} // namespace figreach
