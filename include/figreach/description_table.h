#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "figreach/description.h"
#include "figreach/document_codec.h"

namespace figreach {

/// The latest description known to a host. Its version never decreases.
class description_table {
public:
    /// Adopts the latest record of a history in its stored encoding. Returns whether the record was
    /// newer than the known description.
    bool learn_history(std::string_view bytes);
    /// Adopts an encoded record offered by another host. Returns whether it was newer.
    bool learn_record(std::string_view bytes);

    [[nodiscard]] std::uint64_t version() const; ///< 0: no description is known
    [[nodiscard]] const std::shared_ptr<const description>& latest() const;
    [[nodiscard]] const std::string& encoded_record() const;

private:
    bool learn(const description_record& record);

    std::shared_ptr<const description> value;
    std::string record_bytes;
};

} // namespace figreach
