#pragma once

#include <string>

namespace figreach {

/// How messages between entry hosts are protected: by CURVE with one key pair that all hosts share,
/// or not at all. Only holders of the secret key are let in.
struct peer_security {
    std::string public_key;       ///< 40 characters of Z85; empty: no protection
    std::string secret_key;       ///< 40 characters of Z85
    bool allow_plaintext = false; ///< without keys, also listen at other addresses than loopback

    [[nodiscard]] bool encrypted() const { return !this->public_key.empty(); }
};

/// Reads the keys from two files, each with one line. Throws std::runtime_error with a sentence for
/// people when a file cannot be read or holds no key. Empty names: no protection.
[[nodiscard]] peer_security read_peer_security(const std::string& public_key_file,
                                               const std::string& secret_key_file);

/// Why these settings cannot be used to listen at an address; empty: they can.
[[nodiscard]] std::string defect_of(const peer_security& security, const std::string& address);

} // namespace figreach
