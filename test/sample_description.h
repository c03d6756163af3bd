#pragma once

#include <string>

/// A valid description: three failure domains in service, and one service with two backend servers,
/// one in each of the first two domains.
inline std::string sample_description()
{
    return R"(# ours
[[failure_domain]]
name = "a"   # the first
region = "r"
state = "in"

[[failure_domain]]
name = "b" # the second
region = "r"

[[failure_domain]]
name = "c"
region = "r"

[[tenant]]
name = "pelita"

[[service]]
name = "lessons"
tenant = "pelita"
[[service.class]]
name = "browse"
shed_order = 2

[[backend_server]]
name = "s1"
service = "lessons"
failure_domain = "a"
address = "127.0.0.1:9001"

[[backend_server]]
name = "s2"
service = "lessons"
failure_domain = "b"
address = "127.0.0.1:9002"
)";
}

/// Returns `text` with the first occurrence of `from` replaced by `to`.
inline std::string with(std::string text, const std::string& from, const std::string& to)
{
    const auto at = text.find(from);
    return at == std::string::npos ? text : text.replace(at, from.size(), to);
}
