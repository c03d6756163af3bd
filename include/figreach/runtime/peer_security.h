#pragma once

#include <string>

namespace figreach {

/// Security of the messages between entry hosts: CURVE encryption with one key pair that all hosts
/// share, or plaintext. With CURVE, only holders of the secret key can connect.
struct peer_security {
    std::string public_key;       ///< 40 characters in Z85; empty: plaintext
    std::string secret_key;       ///< 40 characters in Z85
    bool allow_plaintext = false; ///< permits plaintext on addresses other than loopback

    [[nodiscard]] bool encrypted() const { return !this->public_key.empty(); }
};

/// Reads the keys from the first lines of two files. Throws std::runtime_error with a readable
/// message if a file cannot be read or holds no key. If both names are empty, the result is
/// plaintext.
[[nodiscard]] peer_security read_peer_security(const std::string& public_key_file,
                                               const std::string& secret_key_file);

/// Returns why these settings cannot be used to listen on an address; empty if they can.
[[nodiscard]] std::string defect_of(const peer_security& security, const std::string& address);

} // namespace figreach
