#include "figreach/key_hash.h"

#include <xxhash.h>

namespace figreach {

key_hash hash_key(std::string_view key)
{
    return XXH3_64bits(key.data(), key.size());
}

std::uint64_t rendezvous_weight(std::string_view item, std::string_view candidate)
{
    const auto seed = XXH3_64bits(item.data(), item.size());
    return XXH3_64bits_withSeed(candidate.data(), candidate.size(), seed);
}

} // namespace figreach
