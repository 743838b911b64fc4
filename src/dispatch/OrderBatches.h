#pragma once

#include "protocol/DispatchMessages.h"

#include <cstddef>
#include <vector>

namespace hemlocklead::dispatch {

/// Splits orders into messages of about `maxBytes` at most, to be sent in this order. Each repeats the numbers of
/// `orders`; descriptions come before starts and starts before stops, as within one message.
std::vector<HostOrders> splitOrders(HostOrders orders, size_t maxBytes);

} // namespace hemlocklead::dispatch
