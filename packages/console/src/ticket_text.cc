#include "coltsfoottide/console/ticket_text.h"

#include <fmt/format.h>

#include <charconv>
#include <sstream>
#include <vector>

namespace coltsfoottide::console {
namespace {

constexpr std::size_t kIncarnationDigits = 16;
constexpr std::size_t kTicketParts = 4;

std::optional<std::uint64_t> ParseNumber(const std::string& text, int base) {
  std::uint64_t number = 0;
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number, base);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return number;
}

std::vector<std::string> Split(const std::string& text, char separator) {
  std::vector<std::string> parts;
  std::istringstream stream(text);
  for (std::string part; std::getline(stream, part, separator);) {
    parts.push_back(part);
  }
  return parts;
}

}  // namespace

std::string FormatIncarnation(std::uint64_t incarnation) {
  return fmt::format("{:016x}", incarnation);
}

std::optional<std::uint64_t> ParseIncarnation(const std::string& text) {
  if (text.empty() || text.size() > kIncarnationDigits) {
    return std::nullopt;
  }
  return ParseNumber(text, 16);
}

std::string FormatTicket(const api::Ticket& ticket) {
  return fmt::format("{}/{}/{}/{}", ticket.endpoint(), FormatIncarnation(ticket.incarnation()),
                     ticket.sequence(), ticket.data_centre());
}

std::optional<api::Ticket> ParseTicket(const std::string& text) {
  const std::vector<std::string> parts = Split(text, '/');
  if (parts.size() != kTicketParts || parts[0].empty() || parts[3].empty()) {
    return std::nullopt;
  }
  const auto incarnation = ParseIncarnation(parts[1]);
  const auto sequence = ParseNumber(parts[2], 10);
  if (!incarnation || !sequence) {
    return std::nullopt;
  }
  api::Ticket ticket;
  ticket.set_endpoint(parts[0]);
  ticket.set_incarnation(*incarnation);
  ticket.set_sequence(*sequence);
  ticket.set_data_centre(parts[3]);
  return ticket;
}

}  // namespace coltsfoottide::console
