#include "state/Json.h"

namespace hemlocklead {

Result<Json> parseJson(std::string_view text)
{
    Json value = Json::parse(text, nullptr, false);
    if (value.is_discarded())
        return fail(ErrorKind::InvalidRequest, "malformed JSON");
    return value;
}

std::string jsonText(const Json& value) { return value.dump(-1, ' ', false, Json::error_handler_t::replace); }

} // namespace hemlocklead
