#include "load_settings.h"

#include <sstream>
#include <stdexcept>

namespace figreach::load {

namespace {

void set_field(stream_settings& out, const std::string& name, const std::string& value)
{
    if (name == "service") {
        out.service = value;
    }
    else if (name == "tenant") {
        out.tenant = value;
    }
    else if (name == "class") {
        out.request_class = value;
    }
    else if (name == "rate") {
        out.rate = std::stod(value);
    }
    else if (name == "posts") {
        out.posts = std::stod(value);
    }
    else if (name == "keyed") {
        out.keyed = value != "0";
    }
    else if (name == "answer-bytes") {
        out.answer_bytes = std::stoull(value);
    }
    else if (name == "upload-bytes") {
        out.upload_bytes = std::stoull(value);
    }
    else {
        throw std::invalid_argument{"unknown field '" + name + "' in --stream"};
    }
}

} // namespace

stream_settings parse_stream(const std::string& text)
{
    stream_settings out;
    std::istringstream in{text};
    std::string item;
    while (std::getline(in, item, ',')) {
        const auto equals = item.find('=');
        if (equals == std::string::npos) {
            throw std::invalid_argument{"'" + item + "' in --stream is not NAME=VALUE"};
        }
        set_field(out, item.substr(0, equals), item.substr(equals + 1));
    }
    if (out.service.empty() || out.rate <= 0.0) {
        throw std::invalid_argument{"--stream requires a service and a rate greater than zero"};
    }
    return out;
}

} // namespace figreach::load
