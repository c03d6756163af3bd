#include "figreach/runtime/settings_file.h"

#include <unistd.h>

#include <filesystem>
#include <fstream>

#include <boost/leaf/handle_errors.hpp>

#include "property.h"

using namespace figreach;

namespace {

const std::string whole_file = R"(
name = "host-1"
failure_domain = "fd-1"
caller_address = "127.0.0.1:7100"
forward_address = "127.0.0.1:7101"
peer_address = "127.0.0.1:7102"
operator_address = "127.0.0.1:7103"
admin_address = "127.0.0.1:7104"
store_address = "127.0.0.1:7000"
)";

struct file_row {
    const char* name;
    const char* added;     ///< appended to a valid file
    const char* fault_key; ///< empty: loading succeeds
};

const file_row file_rows[] = {
    {"whole", "", ""},
    {"unknown key", "colour = \"red\"", "colour"},
    {"named file is missing", "tls_certificate = \"/nowhere/c\"\ntls_key = \"/nowhere/k\"",
     "tls_certificate"},
};

/// The keys of the faults, in order; empty if loading succeeded.
std::vector<std::string> keys_at_fault(const std::string& path)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::vector<std::string>> {
            auto loaded = load_host_settings(path);
            if (!loaded) {
                return loaded.error();
            }
            return std::vector<std::string>{};
        },
        [](const settings_faults& wrong) {
            std::vector<std::string> keys;
            for (const auto& one : wrong.faults) {
                keys.push_back(one.key);
            }
            return keys;
        },
        [] { return std::vector<std::string>{"an error without faults"}; });
}

} // namespace

TEST_GROUP(settings_file_test){};

TEST(settings_file_test, tells_what_is_wrong_with_a_file)
{
    const auto path =
        std::filesystem::temp_directory_path() / ("figreach-settings-" + std::to_string(getpid()));
    for (const auto& row : file_rows) {
        std::ofstream{path} << whole_file << row.added << '\n';
        const auto keys = keys_at_fault(path);
        const std::string first = keys.empty() ? "" : keys.front();
        STRCMP_EQUAL_TEXT(row.fault_key, first.c_str(), row.name);
    }
    std::filesystem::remove(path);
    STRCMP_EQUAL("(file)", keys_at_fault(path).front().c_str());
}
