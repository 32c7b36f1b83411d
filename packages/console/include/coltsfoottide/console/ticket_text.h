#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "coltsfoottide/schema/api.pb.h"

namespace coltsfoottide::console {

// Returns an incarnation as 16 hexadecimal digits.
std::string FormatIncarnation(std::uint64_t incarnation);

// Parses 1 to 16 hexadecimal digits.
std::optional<std::uint64_t> ParseIncarnation(const std::string& text);

// Returns the text form of a ticket: ENDPOINT/INCARNATION/SEQUENCE/DATA-CENTRE,
// e.g. "10.0.0.5:7000/00c0ffee00c0ffee/42/fes-c".
std::string FormatTicket(const api::Ticket& ticket);

// Parses the text form; returns nothing if the text has another form.
std::optional<api::Ticket> ParseTicket(const std::string& text);

}  // namespace coltsfoottide::console
