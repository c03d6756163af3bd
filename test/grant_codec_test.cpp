#include "figreach/grant_codec.h"

#include "property.h"

using namespace figreach;

namespace {

rc::Gen<std::uint64_t> any_number()
{
    return rc::gen::arbitrary<std::uint64_t>();
}

grant any_grant()
{
    grant out;
    out.coordinator = {*rc::gen::container<std::string>(rc::gen::inRange(' ', '~'))};
    out.sequence = *any_number();
    out.term = *any_number();
    out.after = *any_number();
    out.duration = milliseconds{*rc::gen::inRange<std::int64_t>(0, 100000)};
    const auto count = *rc::gen::inRange(0, 5);
    for (int i = 0; i < count; ++i) {
        out.slices.push_back(
            {.first = *any_number(), .last = *any_number(), .fence = *any_number()});
    }
    return out;
}

struct grant_row {
    const char* name;
    const char* json;
    bool accepted;
};

const grant_row grant_rows[] = {
    {"whole",
     R"({"coordinator":"h","term":1,"sequence":2,"after":1,"duration_ms":5,
         "slices":[{"first":"00","last":"ff","fence":3}]})",
     true},
    {"unknown fields",
     R"({"coordinator":"h","term":1,"sequence":2,"after":1,"duration_ms":5,"new":[1,{}],
         "slices":[{"first":"00","last":"ff","fence":3,"also":"new"}]})",
     true},
    {"empty text", "", false},
    {"no JSON", "{", false},
    {"no object", "[]", false},
    {"term missing", R"({"coordinator":"h","sequence":2,"after":1,"duration_ms":5,"slices":[]})",
     false},
    {"slices missing", R"({"coordinator":"h","term":1,"sequence":2,"after":1,"duration_ms":5})",
     false},
    {"term below zero",
     R"({"coordinator":"h","term":-1,"sequence":2,"after":1,"duration_ms":5,"slices":[]})", false},
    {"sequence is text",
     R"({"coordinator":"h","term":1,"sequence":"2","after":1,"duration_ms":5,"slices":[]})", false},
    {"hash is no hexadecimal",
     R"({"coordinator":"h","term":1,"sequence":2,"after":1,"duration_ms":5,
         "slices":[{"first":"0x","last":"ff","fence":3}]})",
     false},
    {"hash is too long",
     R"({"coordinator":"h","term":1,"sequence":2,"after":1,"duration_ms":5,
         "slices":[{"first":"00000000000000000f0000000000000000","last":"ff","fence":3}]})",
     false},
};

} // namespace

TEST_GROUP(grant_codec_test){};

TEST(grant_codec_test, takes_well_formed_grants_only)
{
    for (const auto& row : grant_rows) {
        CHECK_EQUAL_TEXT(row.accepted, parse_grant(row.json).has_value(), row.name);
    }
}

TEST(grant_codec_test, reads_back_what_it_wrote)
{
    CHECK_PROPERTY("grant round trip", [] {
        const auto before = any_grant();
        const auto after = parse_grant(to_json(before));
        RC_ASSERT(after.has_value());
        RC_ASSERT(*after == before);
    });
    CHECK_PROPERTY("answer round trip", [] {
        const grant_answer before{.accepted = *rc::gen::arbitrary<bool>(),
                                  .sequence = *any_number(),
                                  .term = *any_number(),
                                  .incarnation = *any_number(),
                                  .in_flight = *rc::gen::arbitrary<std::uint32_t>(),
                                  .cold = *rc::gen::arbitrary<bool>(),
                                  .leaving = *rc::gen::arbitrary<bool>()};
        const auto after = parse_grant_answer(to_json(before));
        RC_ASSERT(after.has_value());
        RC_ASSERT(*after == before);
    });
}

TEST(grant_codec_test, survives_garbage)
{
    CHECK_PROPERTY("garbage", [](const std::string& garbage) {
        (void)parse_grant(garbage);
        (void)parse_grant_answer(garbage);
    });
    CHECK_PROPERTY("cut short", [] {
        const auto whole = to_json(any_grant());
        const auto length = *rc::gen::inRange<std::size_t>(0, whole.size());
        RC_ASSERT(!parse_grant(whole.substr(0, length)).has_value());
    });
}
