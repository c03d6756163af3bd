#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "figreach/description.h"
#include "figreach/document_codec.h"

namespace figreach {

/// The latest description that a host knows. Its version never goes back.
class description_table {
public:
    /// Takes the history as kept in the store; whether its latest record was newer.
    bool learn_history(std::string_view bytes);
    /// Takes one record as offered by another host; whether it was newer.
    bool learn_record(std::string_view bytes);

    [[nodiscard]] std::uint64_t version() const; ///< 0: none is known
    [[nodiscard]] const std::shared_ptr<const description>& latest() const;
    [[nodiscard]] const std::string& encoded_record() const;

private:
    bool learn(const description_record& record);

    std::shared_ptr<const description> value;
    std::string record_bytes;
};

} // namespace figreach
