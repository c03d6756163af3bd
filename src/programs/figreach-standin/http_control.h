#pragma once

#include <functional>
#include <string>

#include <boost/asio/io_context.hpp>

namespace figreach::standin {

/// Response to a control request.
struct control_answer {
    unsigned status = 200;
    std::string body;
};

/// Handles one control request. The arguments are method, target and body.
using control_handler =
    std::function<control_answer(const std::string&, const std::string&, const std::string&)>;

/// Serves the control port of a stand-in over HTTP until the context stops.
void serve_control(boost::asio::io_context& io, const std::string& address,
                   control_handler handler);

} // namespace figreach::standin
