#include "figreach/key_hash.h"

#include <vector>

#include "property.h"

using namespace figreach;

namespace {

/// Known hash values. The hash is part of the contract with backend servers and must never change.
struct known_row {
    const char* key;
    key_hash hash;
};

const known_row known_rows[] = {
    {"", 0x2d06800538d394c2ULL},
    {"a", 0xe6c632b61e964e1fULL},
};

std::size_t best_of(const std::string& item, const std::vector<std::string>& candidates)
{
    std::size_t best = 0;
    for (std::size_t i = 1; i < candidates.size(); ++i) {
        const auto weight = rendezvous_weight(item, candidates[i]);
        if (weight > rendezvous_weight(item, candidates[best])) {
            best = i;
        }
    }
    return best;
}

} // namespace

TEST_GROUP(key_hash_test){};

TEST(key_hash_test, is_xxh3_with_64_bits)
{
    for (const auto& row : known_rows) {
        CHECK_EQUAL_TEXT(row.hash, hash_key(row.key), row.key);
    }
}

TEST(key_hash_test, losing_a_candidate_moves_only_its_items)
{
    CHECK_PROPERTY("rendezvous is stable", [](const std::string& item) {
        const std::vector<std::string> all{"host-1", "host-2", "host-3", "host-4"};
        const auto before = best_of(item, all);
        const auto lost = *rc::gen::inRange<std::size_t>(0, all.size());
        auto left = all;
        left.erase(left.begin() + static_cast<std::ptrdiff_t>(lost));
        const auto after = left[best_of(item, left)];
        RC_ASSERT(lost == before || after == all[before]);
    });
}
