#include "figreach/direct/tenants/api_key_digest.h"

#include <openssl/sha.h>

namespace figreach::direct {

api_key_digest digest_of_key(std::string_view key)
{
    static_assert(api_key_digest::size == SHA256_DIGEST_LENGTH);
    api_key_digest out;
    SHA256(reinterpret_cast<const unsigned char*>(key.data()), key.size(), out.bytes.data());
    return out;
}

} // namespace figreach::direct
