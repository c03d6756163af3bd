#include "figreach/runtime/settings_file.h"

#include <fstream>
#include <iterator>
#include <utility>

#include <boost/leaf/error.hpp>

namespace figreach {

namespace {

/// Returns a fault for each file named in the settings that cannot be read.
fault_list unreadable_files(const host_settings& settings, const std::string& settings_file)
{
    const std::pair<const char*, const std::string*> files[] = {
        {"tls_certificate", &settings.tls_certificate},
        {"tls_key", &settings.tls_key},
        {"tls_client_ca", &settings.tls_client_ca},
        {"peer_public_key", &settings.peer_public_key},
        {"peer_secret_key", &settings.peer_secret_key},
    };
    fault_list faults;
    for (const auto& [key, path] : files) {
        if (!path->empty() && !std::ifstream{*path}) {
            faults.push_back({.file = settings_file,
                              .line = 0,
                              .key = key,
                              .found = "'" + *path + "', which cannot be read",
                              .allowed = "a file that this process may read"});
        }
    }
    return faults;
}

} // namespace

boost::leaf::result<host_settings> load_host_settings(const std::string& path)
{
    std::ifstream in{path};
    if (!in) {
        return boost::leaf::new_error(settings_faults{{{.file = path,
                                                        .line = 0,
                                                        .key = "(file)",
                                                        .found = "nothing that can be read",
                                                        .allowed = "a settings file"}}});
    }
    const std::string text{std::istreambuf_iterator<char>{in}, {}};
    auto parsed = parse_host_settings(text, path);
    for (auto& one : unreadable_files(parsed.value, path)) {
        parsed.faults.push_back(std::move(one));
    }
    if (!parsed.faults.empty()) {
        return boost::leaf::new_error(settings_faults{std::move(parsed.faults)});
    }
    return std::move(parsed.value);
}

} // namespace figreach
